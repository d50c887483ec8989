#pragma once

#include <array>
#include <map>
#include <span>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

inline constexpr milliseconds lease_time{1500};
/// Part of the lease time that a holder does not use, to allow for clock rates
/// that differ between holder and voter.
inline constexpr int lease_drift_percent = 10;

/// One balancer's votes on the shard leases. Each vote goes to one holder at a
/// time. A voter grants nothing for `lease_time` after its start, because votes
/// of its previous run may still be valid.
class shard_lease_voter {
 public:
  explicit shard_lease_voter(time_point started);

  /// Processes a lease request. Returns the shards of `wanted` whose vote
  /// `from` has from `now` for `lease_time`.
  std::vector<shard_id> on_wanted(balancer_run from,
                                  std::span<const shard_id> wanted,
                                  time_point now);

  /// Transfers the vote for `shard` to `successor` if `from` has it.
  void hand_over(balancer_run from, shard_id shard, balancer_id successor);

 private:
  struct vote {
    balancer_run holder;
    time_point until;
  };

  time_point started_;
  std::array<vote, shard_count> votes_{};
};

/// Counts the votes that the members of the cell have granted this balancer.
class shard_lease_holder {
 public:
  /// Sets the configured members of the cell, including self. A majority is
  /// counted over these.
  void set_members(std::span<const balancer_id> members);

  /// Records the votes of `from` for `shards`, which answer a request sent at
  /// `asked_at`.
  void on_granted(balancer_id from, std::span<const shard_id> shards,
                  time_point asked_at);

  /// Discards all votes for `shard`.
  void drop(shard_id shard);
  /// Discards all votes for `shard` and ignores later ones that answer requests
  /// sent until `now`: they may arrive after the shard has been handed over.
  void drop(shard_id shard, time_point now);

  /// Returns whether a majority of the members have granted `shard`. Each vote
  /// counts for `lease_time` less the drift margin from its request, by the
  /// holder's clock.
  bool holds(shard_id shard, time_point now) const;

 private:
  std::map<balancer_id, std::array<time_point, shard_count>> granted_until_;
  std::array<time_point, shard_count> ignore_before_{};
};

}  // namespace rosemarydrum
