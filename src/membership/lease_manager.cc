#include "membership/lease_manager.h"

#include <algorithm>

#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum {
namespace {

record_event lease_event(event_id id, shard_id shard) {
  event_record event;
  event.id = id;
  event.detail = value_of(shard);
  return {event};
}

bool contains(std::span<const shard_id> shards, shard_id shard) {
  return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

}  // namespace

lease_manager::lease_manager(balancer_run self, time_point started)
    : self_(self), voter_(started) {}

void lease_manager::set_members(std::span<const balancer_id> members) {
  holder_.set_members(members);
}

std::vector<shard_id> lease_manager::wanted(
    std::span<const balancer_id> candidates, bool may_decide) const {
  std::vector<shard_id> shards;
  for (std::uint16_t i = 0; may_decide && i < shard_count; ++i) {
    if (rendezvous_first(i, candidates) == self_.id) {
      shards.push_back(shard_id(i));
    }
  }
  return shards;
}

std::vector<shard_id> lease_manager::on_heartbeat(
    balancer_run from, const heartbeat& beat,
    std::optional<time_point> asked_at, time_point now) {
  granted_[from.id] = voter_.on_wanted(from, beat.wanted, now);
  if (asked_at) {
    holder_.on_granted(from.id, beat.granted, *asked_at);
  }
  std::vector<shard_id> changed;
  for (const auto shard : beat.held) {
    auto& holder = holders_[value_of(shard) % shard_count];
    if (holder.run != from) {
      changed.push_back(shard);
    }
    holder = {from, now};
  }
  // A shard that its holder no longer lists has been released.
  for (std::uint16_t i = 0; i < shard_count; ++i) {
    if (holders_[i].run == from && !contains(beat.held, shard_id(i))) {
      holders_[i] = {};
    }
  }
  return changed;
}

void lease_manager::on_peer_lost(balancer_id peer) {
  for (auto& holder : holders_) {
    if (holder.run.id == peer) {
      holder = {};
    }
  }
}

std::vector<shard_id> lease_manager::take_granted(balancer_id to) {
  const auto found = granted_.find(to);
  if (found == granted_.end()) {
    return {};
  }
  auto shards = std::move(found->second);
  granted_.erase(found);
  return shards;
}

void lease_manager::vote_for_self(std::span<const shard_id> wanted,
                                  time_point now) {
  const auto granted = voter_.on_wanted(self_, wanted, now);
  holder_.on_granted(self_.id, granted, now);
}

void lease_manager::hand_over(shard_id shard,
                              std::span<const balancer_id> candidates,
                              slot_table& slots, time_point now, actions& out) {
  const auto successor = rendezvous_first(value_of(shard), candidates);
  if (!successor || *successor == self_.id) {
    return;
  }
  // In quarantine this balancer does not know all grants, so the successor
  // takes over without them and collects reports itself.
  if (slots.may_hand_over(shard, now)) {
    out.push_back(send_to_peer{
        *successor,
        {},
        lease_handover{shard, slots.running(shard, now), slots.limits(shard)}});
    out.push_back(lease_event(event_id::lease_handed_over, shard));
  }
  voter_.hand_over(self_, shard, *successor);
  holder_.drop(shard, now);
}

std::vector<shard_id> lease_manager::update(
    std::span<const shard_id> wanted, std::span<const balancer_id> candidates,
    std::span<const balancer_id> reporters, bool may_decide, slot_table& slots,
    time_point now, actions& out) {
  std::vector<shard_id> acquired;
  for (std::uint16_t i = 0; i < shard_count; ++i) {
    const auto shard = shard_id(i);
    const auto before = slots.authority(shard);
    if (before == slot_authority::sole && !contains(wanted, shard)) {
      hand_over(shard, candidates, slots, now, out);
    }
    auto authority = slot_authority::none;
    if (holder_.holds(shard, now)) {
      authority = slot_authority::sole;
    } else if (may_decide && !decider_of(shard, now)) {
      authority = slot_authority::share;
    }
    if (authority == before) {
      continue;
    }
    const bool handed_over = handed_over_at_[i] != time_point{} &&
                             now - handed_over_at_[i] < lease_time;
    slots.set_authority(shard, authority, reporters, handed_over, now, out);
    if (authority == slot_authority::sole) {
      holders_[i] = {self_, now};
      acquired.push_back(shard);
      out.push_back(lease_event(event_id::lease_acquired, shard));
    } else if (before == slot_authority::sole) {
      holders_[i] = {};
      out.push_back(lease_event(event_id::lease_lost, shard));
    }
  }
  return acquired;
}

void lease_manager::on_handover(shard_id shard, time_point now) {
  handed_over_at_[value_of(shard) % shard_count] = now;
}

std::optional<balancer_run> lease_manager::decider_of(shard_id shard,
                                                      time_point now) const {
  if (holder_.holds(shard, now)) {
    return self_;
  }
  const auto& holder = holders_[value_of(shard) % shard_count];
  if (holder.run.id == balancer_id{} || holder.run == self_ ||
      now - holder.last_claimed > lease_time) {
    return std::nullopt;
  }
  return holder.run;
}

std::vector<shard_id> lease_manager::held(time_point now) const {
  std::vector<shard_id> shards;
  for (std::uint16_t i = 0; i < shard_count; ++i) {
    if (holder_.holds(shard_id(i), now)) {
      shards.push_back(shard_id(i));
    }
  }
  return shards;
}

}  // namespace rosemarydrum
