#pragma once

#include <set>
#include <span>

#include "rosemarydrum/slots/slot_table.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// This balancer's authority to grant slots of one shard. A take-over without
/// hand-over starts a quarantine, because requests may still be running on
/// grants of the previous decider that this balancer does not know.
struct shard_authority {
  slot_authority mode = slot_authority::none;
  time_point quarantine_until;
  /// Members whose grants_report is awaited.
  std::set<balancer_id> awaited;
  /// Members whose grants_report has been processed since the take-over. A
  /// duplicate could restore grants that have been released since.
  std::set<balancer_id> reported;

  /// Whether the previous decider has handed its grants over.
  bool handed_over = false;

  /// Starts a quarantine. It ends when all of `reports_from` have reported, or
  /// at `until`, when grants that were not reported have ended.
  void take_over(std::span<const balancer_id> reports_from, time_point until) {
    awaited = {reports_from.begin(), reports_from.end()};
    reported.clear();
    quarantine_until = until;
    handed_over = false;
  }
  /// Ends the quarantine, because all grants are known.
  void on_handed_over() {
    awaited.clear();
    handed_over = true;
  }
  /// Returns whether to process a report of `from`, and marks it as processed.
  bool accepts_report(balancer_id from) {
    return mode == slot_authority::sole && !handed_over &&
           reported.insert(from).second;
  }
  bool in_quarantine(time_point now) const {
    return mode == slot_authority::sole && !awaited.empty() &&
           now < quarantine_until;
  }
};

}  // namespace rosemarydrum::detail
