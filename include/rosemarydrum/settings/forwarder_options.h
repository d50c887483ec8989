#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The checked settings of a forwarder.
struct forwarder_options {
  /// Name of the instance; unique.
  std::string name;
  std::string data_centre;
  endpoint listen;
  endpoint ready_listen;
  endpoint peer_listen;
  /// Port 0: no metrics.
  endpoint metrics_listen;
  endpoint store;
  /// Instances that may run a forwarder; their ports are ignored.
  std::vector<endpoint> seeds;
  /// In thousandths of a core.
  std::uint32_t processor_share = 0;
  seconds flow_lifetime{0};
  milliseconds configuration_bound{0};
  milliseconds drain_bound{0};
  milliseconds data_centre_bound{0};
  seconds stop_grace{0};
  /// In thousandths.
  std::uint32_t cold_factor = 0;
  std::uint32_t cold_extra = 0;
  std::string log_level;
  /// Maximum number of logged lines per second about served flows.
  std::uint32_t log_flows = 0;

  friend bool operator==(const forwarder_options&,
                         const forwarder_options&) = default;
};

}  // namespace rosemarydrum
