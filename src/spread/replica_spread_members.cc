#include <algorithm>
#include <iterator>
#include <utility>

#include "rosemarydrum/spread/member_codec.h"
#include "rosemarydrum/spread/replica_spread.h"

/// The members that a process knows, and which of them it turns to.
namespace rosemarydrum {
namespace {

/// Records lapse while the store is unavailable, and the processes write them
/// again soon after its return. Until then they still count as members.
constexpr seconds lapsed_member_retention{10};
/// Members of other data centres that are told of a flow.
constexpr std::size_t max_remote_flow_peers = 8;

}  // namespace

void replica_spread::update_members(const std::vector<kv_item>& updated,
                                    time_point now) {
  for (const auto& item : updated) {
    if (!item.key.starts_with(members_prefix)) {
      continue;
    }
    ++members_version_;
    const auto name = item.key.substr(members_prefix.size());
    lapsed_members_.erase(name);
    const auto member = decode_member(item.key, item.value);
    const auto age = replica_.removal_age(item.key, now);
    const bool is_member =
        !item.removed || (age && *age < lapsed_member_retention);
    if (!member || !is_member) {
      members_.erase(name);
      continue;
    }
    members_[name] = *member;
    if (item.removed) {
      lapsed_members_[name] = now - *age;
    }
  }
}

void replica_spread::forget_lapsed_members(time_point now) {
  std::erase_if(lapsed_members_, [&](const auto& lapsed) {
    if (now - lapsed.second < lapsed_member_retention) {
      return false;
    }
    members_.erase(lapsed.first);
    ++members_version_;
    return true;
  });
}

std::optional<endpoint> replica_spread::reader(time_point now) const {
  const auto* member = choice_.reader(now);
  return member == nullptr ? std::nullopt : std::optional(member->address);
}

std::vector<endpoint> replica_spread::flow_peers() {
  std::vector<endpoint> remote;
  for (const auto& [name, member] : members_) {
    if (member.data_centre != settings_.self.data_centre) {
      remote.push_back(member.address);
    }
  }
  auto to = data_centre_peers();
  std::sample(remote.begin(), remote.end(), std::back_inserter(to),
              max_remote_flow_peers, random_);
  return to;
}

std::vector<endpoint> replica_spread::data_centre_peers() const {
  std::vector<endpoint> to;
  for (const auto& [name, member] : members_) {
    if (name != settings_.self.name &&
        member.data_centre == settings_.self.data_centre) {
      to.push_back(member.address);
    }
  }
  return to;
}

std::optional<member_record> replica_spread::random_member(bool local) {
  std::vector<const member_record*> preferred;
  std::vector<const member_record*> others;
  for (const auto& [name, member] : members_) {
    if (name != settings_.self.name) {
      const bool is_local = member.data_centre == settings_.self.data_centre;
      (is_local == local ? preferred : others).push_back(&member);
    }
  }
  const auto& candidates = preferred.empty() ? others : preferred;
  return candidates.empty()
             ? std::nullopt
             : std::optional(*candidates[random_() % candidates.size()]);
}

std::optional<endpoint> replica_spread::next_to_ask() {
  std::vector<endpoint> preferred;
  std::vector<endpoint> others;
  const auto add = [&](const endpoint& member, bool is_preferred) {
    const auto& asked = history_.asked();
    if (member != settings_.self.address &&
        std::find(asked.begin(), asked.end(), member) == asked.end()) {
      (is_preferred ? preferred : others).push_back(member);
    }
  };
  for (const auto& [name, member] : members_) {
    const bool is_local = member.data_centre == settings_.self.data_centre;
    add(member.address, is_local == history_.prefers_local());
  }
  if (members_.size() <= 1) {
    for (const auto& seed : settings_.seeds) {
      add(seed, false);
    }
  }
  const auto& candidates = preferred.empty() ? others : preferred;
  return candidates.empty()
             ? std::nullopt
             : std::optional(candidates[random_() % candidates.size()]);
}

}  // namespace rosemarydrum
