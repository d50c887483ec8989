#include "rosemarydrum/forwarding/flow_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

/// Weight of a new value.
constexpr double gain = 0.2;
constexpr int least_samples = 3;
/// Ratios below this are the spread of the requests' work.
constexpr double least_slowness = 2.0;
constexpr double most_slowness = 16.0;
/// Time in which an estimate without new values loses most of its weight.
constexpr double memory_us = 2e6;

}  // namespace

void flow_time_estimate::add(duration took, time_point now) {
  const auto value = static_cast<double>(took.count());
  mean_us_ = samples_ == 0 ? value : mean_us_ + gain * (value - mean_us_);
  samples_ = std::min(samples_ + 1, least_samples);
  last_ = now;
}

double flow_time_estimate::slowness(const flow_time_estimate& usual,
                                    time_point now) const {
  if (samples_ < least_samples || usual.samples_ < least_samples ||
      usual.mean_us_ <= 0) {
    return 1;
  }
  const double ratio = std::min(mean_us_ / usual.mean_us_, most_slowness);
  if (ratio < least_slowness) {
    return 1;
  }
  const auto idle = static_cast<double>((now - last_).count());
  return 1 + (ratio - 1) * std::exp(-idle / memory_us);
}

}  // namespace rosemarydrum
