#pragma once

#include <optional>
#include <vector>

#include "forwarder/forwarder_metrics.h"
#include "io/bounded_ring.h"
#include "log/event_logger.h"
#include "rosemarydrum/forwarding/fleet_update.h"

namespace rosemarydrum {

/// Update from the control thread to the data thread.
struct control_update {
  fleet_update fleet;
  /// New limit for log lines about opened flows.
  std::optional<std::uint32_t> log_flows;
  std::optional<event_severity> log_severity;
};

/// Report from the data thread to the control thread.
struct data_report {
  /// Whether callers should be sent to other forwarders.
  bool unable = false;
  data_metrics metrics;
  /// Flows that failed since the last report.
  std::vector<upstream_failures> failures;
  /// What to tell the other members of upstreams and of flows.
  std::vector<upstream_sighting> sightings;
  std::vector<flow_record> flows;
};

/// Bounded rings between the threads of the forwarder.
struct forwarder_rings {
  static constexpr std::size_t updates = 4096;
  static constexpr std::size_t reports = 64;
  static constexpr std::size_t lines = 8192;

  bounded_ring<control_update> to_data{updates};
  bounded_ring<data_report> to_control{reports};
  log_ring data_log{lines};
  log_ring control_log{lines};
};

}  // namespace rosemarydrum
