#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/forwarding/flow_record.h"
#include "rosemarydrum/forwarding/upstream_failures.h"
#include "rosemarydrum/forwarding/upstream_sighting.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What a fleet_agent reports to the forwarder.
struct fleet_update {
  std::vector<fleet_change> changes;
  /// Names of all members; nullopt if unchanged.
  std::optional<std::vector<std::string>> members;
  /// Failures that other members of the data centre have counted.
  std::vector<reported_failures> failures;
  /// What other members of the data centre have just seen of upstreams.
  std::vector<reported_sighting> sightings;
  /// Upstreams of flows, as other members have seen them.
  std::vector<flow_record> flows;
  /// Number of other members of this data centre.
  std::size_t data_centre_peers = 0;
  /// The replica was out of date and is fresh again.
  bool reconnected = false;
  /// The replica holds all changes up to this revision. The store held nothing
  /// newer at `confirmed_at`.
  revision known_revision{};
  time_point confirmed_at;
  /// The configuration in effect was the latest one at this time.
  time_point configuration_confirmed_at;
};

}  // namespace rosemarydrum
