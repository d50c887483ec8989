#pragma once

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// Runs one balancer until it has been shut down by SIGTERM or SIGINT.
/// Throws std::exception if an address cannot be bound.
void run_daemon(const settings& checked);

}  // namespace rosemarydrum
