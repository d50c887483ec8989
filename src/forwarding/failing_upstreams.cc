#include "rosemarydrum/forwarding/failing_upstreams.h"

namespace rosemarydrum {
namespace {

/// Failures of an outlier: these, and so many times the mean of the others. All
/// fail some flows while they are overloaded; taking out those that happen to
/// fail a few more would overload the rest.
constexpr double least_failures = 3;
constexpr double outlier_factor = 3;

}  // namespace

bool failing_upstreams::add(upstream_index upstream, std::uint32_t failures,
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

bool failing_upstreams::is_outlier(upstream_index upstream,
                                   std::span<const upstream_index> service,
                                   time_point now) const {
  double others = 0;
  std::size_t ejected = 0;
  for (const auto each : service) {
    ejected += is_ejected(each) ? 1 : 0;
    others += each == upstream ? 0 : level(each, now);
  }
  const double mean =
      service.size() > 1 ? others / static_cast<double>(service.size() - 1) : 0;
  return level(upstream, now) >= least_failures + outlier_factor * mean &&
         (ejected + 1) * ejected_part <= service.size();
}

bool failing_upstreams::is_ejected(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < entries_.size() && entries_[position].ejected;
}

double failing_upstreams::level(upstream_index upstream, time_point now) const {
  const auto position = value_of(upstream);
  return position < entries_.size() ? entries_[position].failures.at(now) : 0;
}

void failing_upstreams::forget(upstream_index upstream) {
  if (const auto position = value_of(upstream); position < entries_.size()) {
    entries_[position] = {};
  }
}

}  // namespace rosemarydrum
