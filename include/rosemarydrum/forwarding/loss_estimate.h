#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Lost transmissions without an answer in between that show a dead upstream if
/// few packets to live ones were lost lately.
inline constexpr std::size_t min_losses_of_dead_upstream = 3;

/// Estimates how often data to a live upstream must be sent again, because
/// packets are lost or delayed on a congested link. The estimate is the worst
/// of several short intervals: losses on a full link come in bursts.
class loss_estimate {
 public:
  void on_request(time_point now);
  /// Data of requests to a live upstream was sent again.
  void on_loss(std::size_t requests, time_point now);

  /// Share of requests that were sent again, from 0 to 1.
  double share(time_point now) const;
  /// Number of lost transmissions to one upstream, without an answer in
  /// between, that are too improbable for a live one; at least
  /// `min_losses_of_dead_upstream`.
  std::size_t losses_of_dead_upstream(time_point now) const;

 private:
  static constexpr std::size_t interval_count = 10;

  struct interval {
    /// Number of the interval since the start of time.
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t lost = 0;
  };

  interval& interval_at(time_point now);

  std::array<interval, interval_count> intervals_;
};

}  // namespace rosemarydrum
