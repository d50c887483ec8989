#pragma once

#include <optional>
#include <string>
#include <vector>

#include "forwarder/forwarder_metrics.h"
#include "io/bounded_ring.h"
#include "log/event_logger.h"
#include "rosemarydrum/forwarding/fleet_change.h"

namespace rosemarydrum {

/// What the control thread has learnt.
struct control_update {
  std::vector<fleet_change> changes;
  /// Names of all members, if they have changed.
  std::optional<std::vector<std::string>> members;
  /// What is known was out of date for a while and no longer is.
  bool reconnected = false;
  /// All changes up to this revision are known; the store held nothing newer
  /// at `confirmed_at`.
  revision known{};
  time_point confirmed_at;
  /// New limit for lines about served flows.
  std::optional<std::uint32_t> log_flows;
  std::optional<event_severity> log_severity;
};

/// What the data thread tells of itself.
struct data_report {
  /// Callers should be sent to other forwarders.
  bool unable = false;
  data_metrics metrics;
};

/// Joins the threads of the forwarder.
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
