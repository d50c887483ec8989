#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/forwarding/upstream_failures.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What a fleet_agent has learnt, for the forwarder.
struct fleet_update {
  std::vector<fleet_change> changes;
  /// Names of all members, if they have changed.
  std::optional<std::vector<std::string>> members;
  /// Flows of other members of the data centre that failed.
  std::vector<upstream_failures> failures;
  /// What is known was out of date for a while and no longer is.
  bool reconnected = false;
  /// All changes up to this revision are known; the store held nothing newer
  /// at `confirmed_at`.
  revision known{};
  time_point confirmed_at;
};

}  // namespace rosemarydrum
