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

/// Which balancer decides each shard of the cell, as seen from here, and this
/// balancer's own authority.
class lease_duty {
 public:
  lease_duty(balancer_run self, time_point started);

  void set_members(std::span<const balancer_id> members);

  /// The shards to ask for: those of which this balancer is the candidate.
  std::vector<shard_id> wanted(std::span<const balancer_id> serving,
                               bool may_decide) const;

  /// Takes in the lease fields of a peer's heartbeat. `asked_at` is when the
  /// heartbeat that it echoes was sent. Appends the shards that have a holder
  /// that was not known before.
  std::vector<shard_id> on_heartbeat(balancer_run from, const heartbeat& beat,
                                     std::optional<time_point> asked_at,
                                     time_point now);

  /// `peer` cannot be reached any more; it decides nothing, as seen from here.
  void on_peer_lost(balancer_id peer);

  /// What to grant `to` in the next heartbeat.
  std::vector<shard_id> take_granted(balancer_id to);

  /// Votes for this balancer's own candidacies.
  void vote_for_self(std::span<const shard_id> wanted, time_point now);

  /// Brings the slot table's authority up to date; returns the shards that
  /// this balancer has begun to decide. A shard that is held and no longer
  /// wanted is handed over to the first of `candidates`. A new decider waits
  /// for the reports of `reporters`.
  std::vector<shard_id> update(std::span<const shard_id> wanted,
                               std::span<const balancer_id> candidates,
                               std::span<const balancer_id> reporters,
                               bool may_decide, slot_table& slots,
                               time_point now, actions& out);

  /// A decider that leaves has handed `shard` over to this balancer.
  void on_handover(shard_id shard, time_point now);

  /// The balancer that decides `shard`: this one, a peer that has said so
  /// within the lease time, or nullopt.
  std::optional<balancer_run> decider_of(shard_id shard, time_point now) const;
  std::vector<shard_id> held(time_point now) const;

 private:
  struct known_holder {
    balancer_run run;
    time_point heard;
  };

  void hand_over(shard_id shard, std::span<const balancer_id> serving,
                 slot_table& slots, time_point now, actions& out);

  balancer_run self_;
  shard_lease_voter voter_;
  shard_lease_holder holder_;
  std::array<known_holder, shard_count> holders_{};
  std::array<time_point, shard_count> handed_over_at_{};
  std::map<balancer_id, std::vector<shard_id>> granted_;
};

}  // namespace rosemarydrum
