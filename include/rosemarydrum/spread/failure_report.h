#pragma once

#include <vector>

#include "rosemarydrum/forwarding/upstream_failures.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Failed flows of one upstream, as counted by one process.
struct reported_failures {
  incarnation reporter{};
  upstream_failures failures;

  friend bool operator==(const reported_failures&,
                         const reported_failures&) = default;
};

/// Reports failed flows to members of the same data centre.
struct failure_report {
  std::vector<reported_failures> entries;

  friend bool operator==(const failure_report&,
                         const failure_report&) = default;
};

/// Number of entries that fit into one datagram.
inline constexpr std::size_t max_reported_failures = 48;

}  // namespace rosemarydrum
