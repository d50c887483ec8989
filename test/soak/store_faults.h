#pragma once

#include "soak/soak_fleet.h"

/// Faults of the store and of the links to it, for soak_faults().
namespace rosemarydrum {

duration random_between(soak_fleet& fleet, int min_ms, int max_ms);

duration store_refused(soak_fleet& fleet);
duration store_silent(soak_fleet& fleet);
duration store_one_way(soak_fleet& fleet);
duration store_slow(soak_fleet& fleet);
duration silence_connections(soak_fleet& fleet);
duration deaf_watches(soak_fleet& fleet);
duration old_stale_reads(soak_fleet& fleet);
duration lapse(soak_fleet& fleet);

}  // namespace rosemarydrum
