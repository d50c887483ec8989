#include "rosemarydrum/forwarding/outlier_detector.h"

namespace rosemarydrum {
namespace {

/// An outlier has at least `min_failures` plus `outlier_factor` times the mean
/// of the other upstreams. All upstreams fail some flows under overload;
/// ejecting those with slightly more failures would overload the rest.
constexpr double min_failures = 3;
constexpr double outlier_factor = 3;

}  // namespace

bool outlier_detector::add(upstream_index upstream, std::uint32_t failures,
                           std::span<const upstream_index> service,
                           time_point now) {
  const auto position = value_of(upstream);
  if (position >= entries_.size()) {
    entries_.resize(position + 1);
  }
  entries_[position].failures.add(failures, now);
  if (entries_[position].ejected || !is_outlier(upstream, service, now)) {
    return false;
  }
  entries_[position].ejected = true;
  return true;
}

bool outlier_detector::is_outlier(upstream_index upstream,
                                  std::span<const upstream_index> service,
                                  time_point now) const {
  double others = 0;
  std::size_t ejected = 0;
  for (const auto each : service) {
    ejected += is_ejected(each) ? 1 : 0;
    others += each == upstream ? 0 : failures_at(each, now);
  }
  const double mean =
      service.size() > 1 ? others / static_cast<double>(service.size() - 1) : 0;
  return failures_at(upstream, now) >= min_failures + outlier_factor * mean &&
         (ejected + 1) * upstreams_per_ejection <= service.size();
}

bool outlier_detector::is_ejected(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < entries_.size() && entries_[position].ejected;
}

double outlier_detector::failures_at(upstream_index upstream,
                                     time_point now) const {
  const auto position = value_of(upstream);
  return position < entries_.size() ? entries_[position].failures.at(now) : 0;
}

void outlier_detector::forget(upstream_index upstream) {
  if (const auto position = value_of(upstream); position < entries_.size()) {
    entries_[position] = {};
  }
}

}  // namespace rosemarydrum
