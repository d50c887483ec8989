#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The clock of the process. It satisfies the standard's TrivialClock, so that
/// Asio timers can use it. Tests stop and advance it with `manual_time`.
struct runtime_clock {
  using duration = rosemarydrum::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = rosemarydrum::time_point;
  static constexpr bool is_steady = true;

  /// Time since the epoch: steady, and advancing while the instance is
  /// suspended; or the time set by `manual_time`.
  static time_point now() noexcept;
  /// Whether a `manual_time` controls the clock.
  static bool is_manual() noexcept;

  /// Converts `at` to wall-clock time. While a `manual_time` controls the
  /// clock, its epoch is the Unix epoch.
  static unix_ms to_unix(time_point at) noexcept;
};

/// Stops the clock for its own lifetime; at most one may exist at a time.
class manual_time {
 public:
  /// Stops the clock at `start` after its epoch.
  explicit manual_time(duration start = seconds(1));
  ~manual_time();
  manual_time(const manual_time&) = delete;
  manual_time& operator=(const manual_time&) = delete;

  /// Moves the clock forward by `step`.
  void advance(duration step);
};

}  // namespace rosemarydrum
