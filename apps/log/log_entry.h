#pragma once

#include <boost/json/object.hpp>
#include <cstdint>

#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A log line before it is serialized.
struct log_entry {
  event_id id{};
  time_point at;
  std::uint64_t logical_time = 0;
  /// Lines of this event that the rate limit suppressed since the last one.
  std::uint32_t left_out = 0;
  boost::json::object fields;
};

}  // namespace rosemarydrum
