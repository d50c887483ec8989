#pragma once

#include <vector>

#include "rosemarydrum/forwarding/upstream_failures.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Reports failed flows to members of the same data centre.
struct failure_report {
  std::vector<reported_failures> entries;

  friend bool operator==(const failure_report&,
                         const failure_report&) = default;
};

/// Number of entries that fit into one datagram.
inline constexpr std::size_t max_reported_failures = 48;

}  // namespace rosemarydrum
