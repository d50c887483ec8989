#include "rosemarydrum/forwarding/fleet_share.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

/// Parts of what a cold upstream bears that are handed out to its sponsors, who
/// know that it is cold, and to all members, who do not and may meet.
constexpr double sponsors_part = 0.45;
constexpr double members_part = 0.2;
/// A little more than the second over which flows are counted, for packets
/// that are delayed on their way.
constexpr duration counted_time = milliseconds(1100);

std::uint64_t hash_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

fleet_share::fleet_share(std::string self)
    : self_(std::move(self)), own_(hash_of(self_)) {}

void fleet_share::set_members(const std::vector<std::string>& names) {
  others_.clear();
  for (const auto& name : names) {
    if (name != self_) {
      others_.push_back(hash_of(name));
    }
  }
}

bool fleet_share::is_sponsor(upstream_key upstream) const {
  const auto weight = [upstream](std::uint64_t member) {
    return detail::mix(detail::mix(0x5d, value_of(upstream)), member);
  };
  const auto own = weight(own_);
  const auto better =
      std::count_if(others_.begin(), others_.end(),
                    [&](auto other) { return weight(other) > own; });
  return static_cast<std::size_t>(better) < cold_sponsors;
}

duration fleet_share::sponsor_period(double flows_per_second) {
  const auto each = std::floor(flows_per_second * sponsors_part /
                               static_cast<double>(cold_sponsors));
  return counted_time / static_cast<int>(std::max(each, 1.0));
}

duration fleet_share::member_period(double flows_per_second) const {
  const auto members = static_cast<double>(others_.size()) + 1;
  const double rate = std::max(flows_per_second * members_part, 0.01);
  return duration(static_cast<duration::rep>(members / rate * 1e6));
}

}  // namespace rosemarydrum
