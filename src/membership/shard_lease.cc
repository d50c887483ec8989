#include "rosemarydrum/membership/shard_lease.h"

#include <algorithm>

namespace rosemarydrum {

shard_lease_voter::shard_lease_voter(time_point started) : started_(started) {}

std::vector<shard_id> shard_lease_voter::on_wanted(
    balancer_run from, std::span<const shard_id> wanted, time_point now) {
  std::vector<shard_id> granted;
  if (now < started_ + lease_time) {
    return granted;
  }
  for (const shard_id shard : wanted) {
    if (value_of(shard) >= shard_count) {
      continue;
    }
    vote& current = votes_[value_of(shard)];
    // A hand-over sets run 0, because the leaving holder may not know its
    // successor's run. A holder that has restarted waits for the lease to
    // expire, because its previous process may only be paused.
    const bool is_holder =
        current.holder.id == from.id &&
        (current.holder.run == from.run || current.holder.run == incarnation{});
    if (!is_holder && now < current.until) {
      continue;
    }
    current = {from, now + lease_time};
    granted.push_back(shard);
  }
  return granted;
}

void shard_lease_voter::hand_over(balancer_run from, shard_id shard,
                                  balancer_id successor) {
  if (value_of(shard) >= shard_count) {
    return;
  }
  vote& current = votes_[value_of(shard)];
  if (current.holder == from) {
    current.holder = {successor, incarnation{}};
  }
}

void shard_lease_holder::set_members(std::span<const balancer_id> members) {
  const auto is_member = [members](balancer_id id) {
    return std::find(members.begin(), members.end(), id) != members.end();
  };
  std::erase_if(granted_until_,
                [&](const auto& entry) { return !is_member(entry.first); });
  for (const balancer_id member : members) {
    granted_until_.try_emplace(member);
  }
}

void shard_lease_holder::on_granted(balancer_id from,
                                    std::span<const shard_id> shards,
                                    time_point asked_at) {
  const auto member = granted_until_.find(from);
  if (member == granted_until_.end()) {
    return;
  }
  const duration usable =
      duration(lease_time) * (100 - lease_drift_percent) / 100;
  for (const shard_id shard : shards) {
    if (value_of(shard) < shard_count &&
        asked_at >= ignore_before_[value_of(shard)]) {
      time_point& until = member->second[value_of(shard)];
      until = std::max(until, asked_at + usable);
    }
  }
}

void shard_lease_holder::drop(shard_id shard) {
  if (value_of(shard) >= shard_count) {
    return;
  }
  for (auto& [member, until] : granted_until_) {
    until[value_of(shard)] = time_point{};
  }
}

void shard_lease_holder::drop(shard_id shard, time_point now) {
  drop(shard);
  if (value_of(shard) < shard_count) {
    // A heartbeat with send time `now` may precede the hand-over.
    ignore_before_[value_of(shard)] = now + duration(1);
  }
}

bool shard_lease_holder::holds(shard_id shard, time_point now) const {
  if (value_of(shard) >= shard_count) {
    return false;
  }
  const auto votes = std::count_if(
      granted_until_.begin(), granted_until_.end(),
      [&](const auto& entry) { return now < entry.second[value_of(shard)]; });
  return 2 * static_cast<std::size_t>(votes) > granted_until_.size();
}

}  // namespace rosemarydrum
