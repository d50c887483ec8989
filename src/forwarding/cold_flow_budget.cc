#include "rosemarydrum/forwarding/cold_flow_budget.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

/// Fraction of a cold upstream's rate that its assigned members may use. It is
/// below one half because twice as many members may be assigned while member
/// lists differ.
constexpr double assigned_fraction = 0.45;
/// Fraction that all members together may use while none knows whether the
/// upstream is cold. Their flows are not coordinated and may coincide.
constexpr double shared_fraction = 0.2;
/// Slightly longer than the one second over which the rate is limited, to
/// allow for packets that are delayed in the network.
constexpr duration counting_window = milliseconds(1100);

std::uint64_t hash_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

cold_flow_budget::cold_flow_budget(std::string self)
    : self_(std::move(self)), own_(hash_of(self_)) {}

void cold_flow_budget::set_members(const std::vector<std::string>& names) {
  others_.clear();
  for (const auto& name : names) {
    if (name != self_) {
      others_.push_back(hash_of(name));
    }
  }
}

std::size_t cold_flow_budget::rank(upstream_key upstream) const {
  const auto weight = [upstream](std::uint64_t member) {
    return detail::mix(detail::mix(0x5d, value_of(upstream)), member);
  };
  const auto own = weight(own_);
  return static_cast<std::size_t>(
      std::count_if(others_.begin(), others_.end(),
                    [&](auto other) { return weight(other) > own; }));
}

bool cold_flow_budget::is_assigned(upstream_key upstream) const {
  return rank(upstream) < members_per_cold_upstream;
}

double cold_flow_budget::rank_fraction(upstream_key upstream) const {
  return static_cast<double>(rank(upstream)) /
         (static_cast<double>(others_.size()) + 1);
}

duration cold_flow_budget::assigned_interval(double flows_per_second) {
  const auto per_member =
      std::floor(flows_per_second * assigned_fraction /
                 static_cast<double>(members_per_cold_upstream));
  return counting_window / static_cast<int>(std::max(per_member, 1.0));
}

duration cold_flow_budget::shared_interval(double flows_per_second) const {
  const auto members = static_cast<double>(others_.size()) + 1;
  const double rate = std::max(flows_per_second * shared_fraction, 0.01);
  return duration(static_cast<duration::rep>(members / rate * 1e6));
}

}  // namespace rosemarydrum
