#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Members that may send flows to one cold upstream.
inline constexpr std::size_t cold_sponsors = 2;

/// How the fleet divides the few flows that a cold upstream bears. Members may
/// know of each other late, so that twice the sponsors may be at work; the
/// shares leave room for it.
class fleet_share {
 public:
  explicit fleet_share(std::string self);

  /// All members, self included.
  void set_members(const std::vector<std::string>& names);

  /// Whether this member is one of the sponsors of a cold upstream: those with
  /// the highest rendezvous weights.
  bool is_sponsor(upstream_key upstream) const;
  /// Time between two flows of one sponsor to a cold upstream that bears
  /// `flows_per_second` of the whole fleet.
  static duration sponsor_period(double flows_per_second);
  /// Time between two flows of one member to an upstream that may have become
  /// cold, if all members send to it at times of their own.
  duration member_period(double flows_per_second) const;

 private:
  std::string self_;
  /// The weights of the other members for any key are derived from these.
  std::vector<std::uint64_t> others_;
  std::uint64_t own_;
};

}  // namespace rosemarydrum
