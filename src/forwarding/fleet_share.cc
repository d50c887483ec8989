#include "rosemarydrum/forwarding/fleet_share.h"

#include <xxhash.h>

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Part of what a cold upstream bears that is handed out.
constexpr double handed_out = 0.5;

std::uint64_t hash_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

duration period_of(double shares, double flows_per_second) {
  const double rate = std::max(flows_per_second * handed_out, 0.01);
  return duration(static_cast<duration::rep>(shares / rate * 1e6));
}

}  // namespace

fleet_share::fleet_share(std::string self)
    : self_(std::move(self)), own_(hash_of(self_)) {}

void fleet_share::set_members(std::vector<std::string> names) {
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
  return period_of(cold_sponsors, flows_per_second);
}

duration fleet_share::member_period(double flows_per_second) const {
  return period_of(static_cast<double>(others_.size()) + 1, flows_per_second);
}

}  // namespace rosemarydrum
