#include "rosemarydrum/forwarding/response_size_baseline.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Relative change of the quartile by one response, before it is weighted by
/// `quartile_rank`.
constexpr double quartile_step = 0.05;
constexpr double quartile_rank = 0.25;
constexpr std::uint32_t min_samples = 20;
/// Weight of a short response among longer ones, so that rejections do not
/// become the usual response in an overload.
constexpr double short_weight = 1.0 / 16;
/// After this many short responses in a row, the route's responses have become
/// shorter.
constexpr std::uint32_t short_run = 20;
/// Responses below this fraction of the quartile are short.
constexpr double short_fraction = 0.25;

}  // namespace

// Estimates the lower quartile instead of the mean, because short error
// responses of some failing upstreams hardly move it.
void response_size_baseline::add(std::uint32_t response_bytes) {
  const double bytes = response_bytes;
  short_in_a_row_ = is_short(response_bytes) ? short_in_a_row_ + 1 : 0;
  const bool is_rejection = short_in_a_row_ > 0 && short_in_a_row_ < short_run;
  if (samples_ < min_samples) {
    ++samples_;
    quartile_ += (bytes - quartile_) / samples_;
  } else if (bytes < quartile_) {
    const double weight = is_rejection ? short_weight : 1;
    quartile_ *= 1 - weight * quartile_step * (1 - quartile_rank);
  } else {
    quartile_ = std::max(quartile_, 1.0) * (1 + quartile_step * quartile_rank);
  }
}

bool response_size_baseline::is_short(std::uint32_t response_bytes) const {
  return samples_ >= min_samples && response_bytes < quartile_ * short_fraction;
}

}  // namespace rosemarydrum
