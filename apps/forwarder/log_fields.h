#pragma once

#include <string>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"

/// How values look in the log.
namespace rosemarydrum {

/// "100.64.0.7:40001>198.18.0.1:443": names a flow without a request id.
std::string text_of(const flow_ends& flow);
/// The hexadecimal digits of the upstream's number.
std::string text_of(upstream_key key);

inline std::int64_t whole_ms(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace rosemarydrum
