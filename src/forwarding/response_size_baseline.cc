#include "rosemarydrum/forwarding/response_size_baseline.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Relative change of the quartile by one response, before it is weighted by
/// `quartile_rank`.
constexpr double quartile_step = 0.05;
constexpr double quartile_rank = 0.25;
constexpr std::uint32_t min_samples = 20;
/// Responses below this fraction of the quartile are short.
constexpr double short_fraction = 0.25;

}  // namespace

// Estimates the lower quartile instead of the mean, because short error
// responses of some failing upstreams hardly move it.
void response_size_baseline::add(std::uint32_t response_bytes) {
  const double bytes = response_bytes;
  if (samples_ < min_samples) {
    ++samples_;
    quartile_ += (bytes - quartile_) / samples_;
  } else if (bytes < quartile_) {
    quartile_ *= 1 - quartile_step * (1 - quartile_rank);
  } else {
    quartile_ = std::max(quartile_, 1.0) * (1 + quartile_step * quartile_rank);
  }
}

bool response_size_baseline::is_short(std::uint32_t response_bytes) const {
  return samples_ >= min_samples && response_bytes < quartile_ * short_fraction;
}

}  // namespace rosemarydrum
