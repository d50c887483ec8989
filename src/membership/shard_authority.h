#pragma once

#include <set>
#include <span>

#include "rosemarydrum/slots/slot_table.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// What this balancer may grant of one shard. After a take-over without
/// hand-over there is a quarantine, because grants of the last decider may be
/// running that are not known here.
struct shard_authority {
  slot_authority mode = slot_authority::none;
  time_point quarantine_until;
  /// Members whose report of running grants is missing.
  std::set<balancer_id> missing;
  /// Members whose report has been taken in since the take-over. A repeated
  /// report could bring back grants that have been released since.
  std::set<balancer_id> reported;

  /// Whether the last decider has handed its grants over.
  bool handed_over = false;

  /// Becomes the decider. Without hand-over, the grants that `reports_from` do
  /// not report have ended by `until`.
  void take_over(std::span<const balancer_id> reports_from, time_point until) {
    missing = {reports_from.begin(), reports_from.end()};
    reported.clear();
    quarantine_until = until;
    handed_over = false;
  }
  void on_handed_over() {
    missing.clear();
    handed_over = true;
  }
  /// Whether to take in the report of `from`.
  bool accepts_report(balancer_id from) {
    return mode == slot_authority::sole && !handed_over &&
           reported.insert(from).second;
  }
  bool in_quarantine(time_point now) const {
    return mode == slot_authority::sole && !missing.empty() &&
           now < quarantine_until;
  }
};

}  // namespace rosemarydrum::detail
