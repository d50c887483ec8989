#pragma once

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// Runs one balancer until SIGTERM or SIGINT has shut it down gracefully.
/// Throws std::exception if an address cannot be bound.
void run_daemon(const settings& checked);

}  // namespace rosemarydrum
