#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Members that are assigned to one cold upstream and may send flows to it.
inline constexpr std::size_t members_per_cold_upstream = 2;

/// Divides the few flows that a cold upstream can handle among the members of
/// the fleet. While members have different member lists, twice as many of them
/// may consider themselves assigned; the intervals allow for that.
class cold_flow_budget {
 public:
  explicit cold_flow_budget(std::string self);

  /// `names` holds all members, including this one.
  void set_members(const std::vector<std::string>& names);

  /// Whether this member is assigned to the upstream, by rendezvous hashing.
  bool is_assigned(upstream_key upstream) const;
  /// This member's rank for the upstream, by rendezvous hashing, divided by the
  /// number of members: 0 for the first one, below 1 for the last.
  double rank_fraction(upstream_key upstream) const;
  /// Minimum time between two flows of one assigned member to a cold upstream
  /// that can handle `flows_per_second` from the whole fleet.
  static duration assigned_interval(double flows_per_second);
  /// Minimum time between two flows of one member to an upstream that may have
  /// become cold, when all members send to it independently.
  duration shared_interval(double flows_per_second) const;

 private:
  std::size_t rank(upstream_key upstream) const;

  std::string self_;
  /// Hashes of the other members' names, for rendezvous weights.
  std::vector<std::uint64_t> others_;
  std::uint64_t own_;
};

}  // namespace rosemarydrum
