#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"

/// Formats values for log fields.
namespace rosemarydrum {

/// Returns "100.64.0.7:40001>198.18.0.1:443", which identifies a flow that has
/// no request id.
std::string text_of(const flow_ends& flow);
/// Returns the upstream's key in hexadecimal digits.
std::string text_of(upstream_key key);
/// Formats the run of a process as its own log lines do.
std::string text_of(incarnation run);

/// Adds the fields of a revision of the store: its era and its number.
boost::json::object with_revision(boost::json::object fields,
                                  const revision& shown);

inline std::int64_t whole_ms(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace rosemarydrum
