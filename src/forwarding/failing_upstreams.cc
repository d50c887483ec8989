#include "rosemarydrum/forwarding/failing_upstreams.h"

namespace rosemarydrum {
namespace {

/// Fewer failures may be those of a few callers.
constexpr double least_failures = 3;
/// Failures of an outlier, relative to the mean of the service.
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
  const double own = level(upstream, now);
  if (own < least_failures) {
    return false;
  }
  double others = 0;
  std::size_t ejected = 0;
  for (const auto each : service) {
    ejected += is_ejected(each) ? 1 : 0;
    // Those that are ejected say nothing of what is usual.
    others += each == upstream || is_ejected(each) ? 0 : level(each, now);
  }
  const auto usual = service.size() - ejected;
  const double mean = usual > 1 ? others / static_cast<double>(usual - 1) : 0;
  return own >= outlier_factor * mean &&
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
