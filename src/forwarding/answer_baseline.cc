#include "rosemarydrum/forwarding/answer_baseline.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Part by which an answer moves the quartile.
constexpr double step = 0.05;
constexpr double wanted_below = 0.25;
constexpr std::uint32_t least_samples = 20;
/// Part of the quartile below which an answer is short.
constexpr double short_part = 0.25;

}  // namespace

// The quartile, and not the mean, stays where it is while some upstreams fail.
void answer_baseline::add(std::uint32_t answer_bytes) {
  const double bytes = answer_bytes;
  if (samples_ < least_samples) {
    ++samples_;
    quartile_ += (bytes - quartile_) / samples_;
  } else if (bytes < quartile_) {
    quartile_ *= 1 - step * (1 - wanted_below);
  } else {
    quartile_ = std::max(quartile_, 1.0) * (1 + step * wanted_below);
  }
}

bool answer_baseline::is_short(std::uint32_t answer_bytes) const {
  return samples_ >= least_samples && answer_bytes < quartile_ * short_part;
}

}  // namespace rosemarydrum
