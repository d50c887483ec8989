#pragma once

#include <array>
#include <cstdint>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A loss says something of its upstream only if other data that was sent up to
/// this much later has arrived.
inline constexpr milliseconds delivery_window{150};

/// When this process sent data that was delivered. While its link is blocked,
/// all upstreams seem dead.
class delivery_record {
 public:
  /// Data that was sent at `sent` has been answered.
  void on_delivered(time_point sent);
  /// Whether data was delivered that was sent within `delivery_window` after
  /// `sent`. The record goes back about 5 s.
  bool has_delivered_after(time_point sent) const;
  /// The same, or within `delivery_window` before.
  bool has_delivered_around(time_point sent) const {
    return has_delivered_after(sent - delivery_window) ||
           has_delivered_after(sent);
  }

 private:
  static constexpr std::size_t interval_count = 512;

  /// Numbers of the intervals, since the start of time, in which data was sent
  /// that was delivered; each at its position modulo their count.
  std::array<std::int64_t, interval_count> intervals_{};
};

}  // namespace rosemarydrum
