#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The clock of the runtime. It satisfies the standard's TrivialClock, so that
/// Asio timers run on it. Tests hold it with `manual_time` and advance it.
struct runtime_clock {
  using duration = rosemarydrum::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = rosemarydrum::time_point;
  static constexpr bool is_steady = true;

  /// Time since the epoch: steady and counted while the instance is suspended,
  /// or as set by `manual_time`.
  static time_point now() noexcept;
  /// Whether a `manual_time` holds the clock.
  static bool is_held() noexcept;

  /// The wall clock at `at`, in Unix milliseconds.
  static unix_ms to_unix(time_point at) noexcept;
};

/// Holds the clock for as long as it lives; at most one at a time.
class manual_time {
 public:
  /// Holds the clock at `start` after its epoch.
  explicit manual_time(duration start = seconds(1));
  ~manual_time();
  manual_time(const manual_time&) = delete;
  manual_time& operator=(const manual_time&) = delete;

  /// Moves the clock forward by `step`.
  void advance(duration step);
};

}  // namespace rosemarydrum
