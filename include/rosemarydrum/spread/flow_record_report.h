#pragma once

#include <cstddef>
#include <vector>

#include "rosemarydrum/forwarding/flow_record.h"

namespace rosemarydrum {

/// Tells members of the same data centre which upstreams hold flows.
struct flow_record_report {
  std::vector<flow_record> records;

  friend bool operator==(const flow_record_report&,
                         const flow_record_report&) = default;
};

/// Number of records that fit into one datagram.
inline constexpr std::size_t max_reported_flows = 32;

}  // namespace rosemarydrum
