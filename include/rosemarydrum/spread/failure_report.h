#pragma once

#include <vector>

#include "rosemarydrum/forwarding/upstream_failures.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What one process has seen of one upstream.
struct reported_failures {
  incarnation reporter{};
  upstream_failures seen;

  friend bool operator==(const reported_failures&,
                         const reported_failures&) = default;
};

/// Tells the members of a data centre which upstreams fail flows.
struct failure_report {
  std::vector<reported_failures> entries;

  friend bool operator==(const failure_report&,
                         const failure_report&) = default;
};

/// Entries that fit into one datagram.
inline constexpr std::size_t max_reported_failures = 48;

}  // namespace rosemarydrum
