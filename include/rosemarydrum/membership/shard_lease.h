#pragma once

#include <array>
#include <map>
#include <span>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

inline constexpr milliseconds lease_time{1500};
/// Share of the lease that a holder gives up for differing clock rates.
inline constexpr int lease_drift_percent = 10;

/// Grants shards to one holder at a time. A voter that has just started
/// grants nothing for `lease_time`, because it may have granted in its last
/// run.
class shard_lease_voter {
 public:
  explicit shard_lease_voter(time_point started);

  /// The shards of `wanted` that `from` holds from now for `lease_time`.
  std::vector<shard_id> on_wanted(balancer_run from,
                                  std::span<const shard_id> wanted,
                                  time_point now);

  /// `from` gives `shard` up in favour of `successor`.
  void hand_over(balancer_run from, shard_id shard, balancer_id successor);

 private:
  struct vote {
    balancer_run holder;
    time_point until;
  };

  time_point started_;
  std::array<vote, shard_count> votes_{};
};

/// Counts the grants of the members of the cell.
class shard_lease_holder {
 public:
  /// The members configured for the cell, self included.
  void set_members(std::span<const balancer_id> members);

  /// `from` has granted `shards` in answer to what was sent at `asked_at`.
  void on_granted(balancer_id from, std::span<const shard_id> shards,
                  time_point asked_at);

  /// Forgets all grants of `shard`, as when it is handed over.
  void drop(shard_id shard);
  /// The same, and ignores grants that answer what was sent until `now`: they
  /// may arrive after the shard has been handed over.
  void drop(shard_id shard, time_point now);

  /// Whether more than half of the members have granted `shard`, by the
  /// holder's clock less the drift margin.
  bool holds(shard_id shard, time_point now) const;

 private:
  std::map<balancer_id, std::array<time_point, shard_count>> granted_until_;
  std::array<time_point, shard_count> dropped_at_{};
};

}  // namespace rosemarydrum
