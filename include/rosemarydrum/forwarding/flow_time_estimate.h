#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Usual time of the flows of one upstream or service: an exponentially
/// weighted mean.
class flow_time_estimate {
 public:
  void add(duration took, time_point now);

  /// How many times slower flows are here than `usual`, at least 1. An estimate
  /// that gets no more flows moves back to 1, so that the upstream is tried
  /// again.
  double slowness(const flow_time_estimate& usual, time_point now) const;

 private:
  double mean_us_ = 0;
  int samples_ = 0;
  time_point last_;
};

}  // namespace rosemarydrum
