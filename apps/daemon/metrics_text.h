#pragma once

#include <string>

#include "daemon/metrics_snapshot.h"
#include "daemon/rings.h"

namespace rosemarydrum {

/// Formats the response to /metrics (Prometheus text exposition format 0.0.4).
std::string metrics_text(const metrics_snapshot& snapshot,
                         const rings& shared_rings);

}  // namespace rosemarydrum
