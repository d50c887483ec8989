#pragma once

#include <string>

#include "forwarder/forwarder_metrics.h"
#include "forwarder/measured_store.h"

namespace rosemarydrum {

/// Returns the text that a forwarder's metrics address serves.
std::string metrics_text(const control_metrics& control,
                         const data_metrics& data, const measured_store& store);

}  // namespace rosemarydrum
