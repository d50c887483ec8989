#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "io/bounded_ring.h"
#include "log/log_entry.h"
#include "rosemarydrum/events/event_budget.h"
#include "rosemarydrum/events/event_log.h"
#include "rosemarydrum/events/logical_clock.h"

namespace rosemarydrum {

using log_ring = bounded_ring<log_entry>;

/// Severity by its name in the settings; info for others.
event_severity severity_of(std::string_view name);

/// Logs the events of one thread: bounds them, and hands them to the writer
/// without waiting for it.
class event_logger {
 public:
  /// Lines of one event in a second, unless `set_limit` says otherwise.
  static constexpr std::uint32_t default_limit = 50;

  event_logger(log_ring& to_writer, logical_clock& clock)
      : to_writer_(to_writer), clock_(clock) {}

  /// Least severity that is logged.
  void set_severity(event_severity least) { least_ = least; }
  void set_limit(event_id id, std::uint32_t per_second);

  /// Logs `id` with what `fields` returns; it is called only if the line is
  /// wanted and within its limit.
  template <typename Fields>
  void log(event_id id, time_point now, Fields&& fields) {
    if (const auto left_out = admit(id, now)) {
      to_writer_.push(log_entry{id, now, clock_.next(), *left_out,
                                std::forward<Fields>(fields)()});
    }
  }

 private:
  std::optional<std::uint32_t> admit(event_id id, time_point now);

  log_ring& to_writer_;
  logical_clock& clock_;
  event_severity least_ = event_severity::info;
  std::map<event_id, event_budget> budgets_;
};

}  // namespace rosemarydrum
