#pragma once

#include <optional>
#include <string>
#include <vector>

#include "io/bounded_ring.h"
#include "rosemarydrum/forwarding/fleet_change.h"

namespace rosemarydrum {

/// What the control thread has learnt.
struct control_update {
  std::vector<fleet_change> changes;
  /// Names of all members, if they have changed.
  std::optional<std::vector<std::string>> members;
  /// What is known was out of date for a while and no longer is.
  bool reconnected = false;
};

/// What the data thread tells of itself.
struct data_report {
  /// Callers should be sent to other forwarders.
  bool unable = false;
};

/// Joins the threads of the forwarder.
struct forwarder_rings {
  static constexpr std::size_t updates = 4096;
  static constexpr std::size_t reports = 256;

  bounded_ring<control_update> to_data{updates};
  bounded_ring<data_report> to_control{reports};
};

}  // namespace rosemarydrum
