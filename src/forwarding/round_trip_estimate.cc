#include "rosemarydrum/forwarding/round_trip_estimate.h"

#include <chrono>

namespace rosemarydrum {
namespace {

// Gains and factor of RFC 6298.
constexpr int smoothing_divisor = 8;
constexpr int variation_divisor = 4;
constexpr int variation_factor = 4;

}  // namespace

void round_trip_estimate::add(duration sample) {
  if (smoothed_ == duration(0)) {
    smoothed_ = sample;
    variation_ = sample / 2;
    return;
  }
  variation_ +=
      (std::chrono::abs(sample - smoothed_) - variation_) / variation_divisor;
  smoothed_ += (sample - smoothed_) / smoothing_divisor;
}

duration round_trip_estimate::timeout() const {
  return smoothed_ + variation_factor * variation_;
}

}  // namespace rosemarydrum
