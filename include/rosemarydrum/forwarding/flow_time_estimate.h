#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Exponentially weighted mean of the flow times of one upstream or service. A
/// flow's time runs from its first data to its end.
class flow_time_estimate {
 public:
  void add(duration took, time_point now);

  /// Returns whether a flow time is beyond the normal variation; false until
  /// there are enough samples.
  bool is_exceeded(duration took) const;
  /// Returns how many times slower flows are than `baseline`, at least 1. The
  /// result decays to 1 without new flows, so that the upstream is retried.
  double slowness(const flow_time_estimate& baseline, time_point now) const;

 private:
  double mean_us_ = 0;
  int samples_ = 0;
  time_point last_added_;
};

}  // namespace rosemarydrum
