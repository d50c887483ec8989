#pragma once

#include <string>

#include "daemon/metrics_snapshot.h"
#include "daemon/thread_rings.h"

namespace rosemarydrum {

/// Formats the response to /metrics (Prometheus text exposition format 0.0.4).
std::string metrics_text(const metrics_snapshot& snapshot,
                         const thread_rings& shared_rings);

}  // namespace rosemarydrum
