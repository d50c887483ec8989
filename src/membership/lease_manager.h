#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/membership/membership.h"
#include "rosemarydrum/membership/shard_lease.h"
#include "rosemarydrum/slots/slot_table.h"

namespace rosemarydrum {

/// Tracks which balancer is the decider of each shard of the cell, as known to
/// this balancer, and acquires, hands over and loses this balancer's own
/// leases.
class lease_manager {
 public:
  lease_manager(balancer_run self, time_point started);

  void set_members(std::span<const balancer_id> members);

  /// Returns the shards whose lease this balancer requests: those for which it
  /// is first of `candidates` in rendezvous order. Empty if it may not decide.
  std::vector<shard_id> wanted(std::span<const balancer_id> candidates,
                               bool may_decide) const;

  /// Processes the lease fields of a peer's heartbeat. `asked_at` is when the
  /// heartbeat that it echoes was sent, nullopt if unknown. Returns the shards
  /// that `from` holds and was not known to hold.
  std::vector<shard_id> on_heartbeat(balancer_run from, const heartbeat& beat,
                                     std::optional<time_point> asked_at,
                                     time_point now);

  /// Forgets the shards held by `peer`, which is no longer live.
  void on_peer_lost(balancer_id peer);

  /// Returns and clears the votes to send to `to` in the next heartbeat.
  std::vector<shard_id> take_granted(balancer_id to);

  /// Processes this balancer's own lease requests.
  void vote_for_self(std::span<const shard_id> wanted, time_point now);

  /// Updates the slot table's authority over each shard. Returns the shards of
  /// which this balancer has become the decider. Hands a shard that is held but
  /// not in `wanted` over to the first of `candidates` in rendezvous order. On
  /// a take-over without hand-over the slot table waits for the reports of
  /// `reporters`.
  std::vector<shard_id> update(std::span<const shard_id> wanted,
                               std::span<const balancer_id> candidates,
                               std::span<const balancer_id> reporters,
                               bool may_decide, slot_table& slots,
                               time_point now, actions& out);

  /// Records that the previous decider has handed `shard` over to this
  /// balancer.
  void on_handover(shard_id shard, time_point now);

  /// Returns the decider of `shard`: this balancer, or a peer whose heartbeat
  /// has listed the shard as held within `lease_time`. Otherwise nullopt.
  std::optional<balancer_run> decider_of(shard_id shard, time_point now) const;
  /// Returns the shards that this balancer holds.
  std::vector<shard_id> held(time_point now) const;

 private:
  struct known_holder {
    balancer_run run;
    /// When a heartbeat last listed the shard as held.
    time_point last_claimed;
  };

  void hand_over(shard_id shard, std::span<const balancer_id> candidates,
                 slot_table& slots, time_point now, actions& out);

  balancer_run self_;
  shard_lease_voter voter_;
  shard_lease_holder holder_;
  std::array<known_holder, shard_count> holders_{};
  std::array<time_point, shard_count> handed_over_at_{};
  /// Votes to send in the next heartbeat to each peer.
  std::map<balancer_id, std::vector<shard_id>> granted_;
};

}  // namespace rosemarydrum
