#include "rosemarydrum/forwarding/flow_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

/// Weight of a new sample in the mean.
constexpr double gain = 0.2;
constexpr int min_samples = 3;
/// Smaller ratios are normal variation between requests.
constexpr double min_slowness = 2.0;
constexpr double max_slowness = 16.0;
/// A single flow time varies more than the mean.
constexpr double max_single_ratio = 3.0;
/// Without new samples, the slowness decays with this time constant.
constexpr double idle_time_constant_us = 2e6;

}  // namespace

void flow_time_estimate::add(duration took, time_point now) {
  const auto value = static_cast<double>(took.count());
  mean_us_ = samples_ == 0 ? value : mean_us_ + gain * (value - mean_us_);
  samples_ = std::min(samples_ + 1, min_samples);
  last_added_ = now;
}

bool flow_time_estimate::is_exceeded(duration took) const {
  return samples_ >= min_samples &&
         static_cast<double>(took.count()) > mean_us_ * max_single_ratio;
}

double flow_time_estimate::slowness(const flow_time_estimate& baseline,
                                    time_point now) const {
  if (samples_ < min_samples || baseline.samples_ < min_samples ||
      baseline.mean_us_ <= 0) {
    return 1;
  }
  const double ratio = std::min(mean_us_ / baseline.mean_us_, max_slowness);
  if (ratio < min_slowness) {
    return 1;
  }
  const auto idle = static_cast<double>((now - last_added_).count());
  return 1 + (ratio - 1) * std::exp(-idle / idle_time_constant_us);
}

}  // namespace rosemarydrum
