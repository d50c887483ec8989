#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "io/bounded_ring.h"
#include "log/log_entry.h"
#include "rosemarydrum/events/event_log.h"
#include "rosemarydrum/events/event_rate_limiter.h"
#include "rosemarydrum/events/logical_clock.h"

namespace rosemarydrum {

using log_ring = bounded_ring<log_entry>;

/// Returns the severity with this name in the settings; info for unknown names.
event_severity severity_of(std::string_view name);

/// Logs the events of one thread: limits the rate of each event, and passes the
/// entries to the writer through a ring that never blocks.
class event_logger {
 public:
  /// Lines per second of each event without a limit from `set_limit`.
  static constexpr std::uint32_t default_limit = 50;

  event_logger(log_ring& ring, logical_clock& clock)
      : ring_(ring), clock_(clock) {}

  /// Sets the lowest severity that is logged.
  void set_severity(event_severity minimum) { min_severity_ = minimum; }
  void set_limit(event_id id, std::uint32_t per_second);

  /// Logs `id` with the object that `fields` returns. Calls `fields` only if
  /// the severity and the rate limit admit the line.
  template <typename Fields>
  void log(event_id id, time_point now, Fields&& fields) {
    if (const auto left_out = admit(id, now)) {
      ring_.push(log_entry{id, now, clock_.next(), *left_out,
                           std::forward<Fields>(fields)()});
    }
  }

 private:
  /// Returns the number of lines that the limit suppressed before this one;
  /// nullopt if this line is not to be logged.
  std::optional<std::uint32_t> admit(event_id id, time_point now);

  log_ring& ring_;
  logical_clock& clock_;
  event_severity min_severity_ = event_severity::info;
  std::map<event_id, event_rate_limiter> rate_limiters_;
};

}  // namespace rosemarydrum
