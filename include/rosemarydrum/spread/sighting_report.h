#pragma once

#include <vector>

#include "rosemarydrum/forwarding/upstream_sighting.h"

namespace rosemarydrum {

/// Tells the other members of the data centre what the sender has seen of
/// upstreams.
struct sighting_report {
  std::vector<upstream_sighting> entries;

  friend bool operator==(const sighting_report&,
                         const sighting_report&) = default;
};

/// Number of entries that fit into one datagram.
inline constexpr std::size_t max_reported_sightings = 48;

}  // namespace rosemarydrum
