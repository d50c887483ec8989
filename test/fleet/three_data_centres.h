#pragma once

#include <string>

#include "fleet/simulated_fleet.h"

namespace rosemarydrum {

/// Three data centres with two forwarders and three upstreams of service
/// "desk" each: "north-1", upstreams "a0" to "a2", and so on. The first
/// forwarder of each is the larger one and reads the store.
struct three_data_centres : simulated_fleet {
  static constexpr std::uint32_t large = 500;
  static constexpr std::uint32_t small = 250;

  three_data_centres() : simulated_fleet({"north", "centre", "south"}) {
    configure(1);
    const std::string prefixes = "abc";
    std::size_t prefix_index = 0;
    for (const std::string centre : {"north", "centre", "south"}) {
      for (int i = 0; i < 3; ++i) {
        add_upstream(prefixes[prefix_index] + std::to_string(i),
                     {.zone = centre});
      }
      ++prefix_index;
      add_node(centre + "-1", centre, large);
      add_node(centre + "-2", centre, small);
    }
    run_for(seconds(4));
  }

  std::size_t openings_in(const std::string& data_centre,
                          time_point from) const {
    std::size_t count = 0;
    for (const auto& [hex_id, upstream] : upstreams) {
      if (upstream->entry.zone == data_centre) {
        count += upstream->openings_since(from);
      }
    }
    return count;
  }
};

}  // namespace rosemarydrum
