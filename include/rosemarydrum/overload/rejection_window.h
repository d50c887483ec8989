#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "rosemarydrum/forwarding/decaying_count.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Counts the recent answers and rejections of one service's upstreams.
/// Overload shows in rejections by many upstreams at once; a few that reject
/// are faulty.
class rejection_window {
 public:
  /// An upstream has answered a request, or rejected it.
  void add(upstream_index upstream, bool rejected, time_point now);

  std::size_t answering(time_point now) const;
  /// Share of the recent requests that were rejected, from 0 to 1.
  double rejected_requests(time_point now) const;
  /// Share of the answering upstreams that have rejected a request, from 0 to
  /// 1; 0 if too few have answered.
  double rejecting_upstreams(time_point now) const;

 private:
  struct last_answer {
    time_point answered_at;
    time_point rejected_at;
  };

  static constexpr milliseconds time_constant{500};

  std::unordered_map<std::uint32_t, last_answer> upstreams_;
  decaying_count answers_{time_constant};
  decaying_count rejections_{time_constant};
};

}  // namespace rosemarydrum
