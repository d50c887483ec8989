#pragma once

#include <span>
#include <string_view>

#include "soak/soak_fleet.h"

namespace rosemarydrum {

/// A fault that the soak injects, or a change that operators make.
struct soak_fault {
  std::string_view name;
  /// Starts the fault, schedules its end and returns how long it lasts.
  duration (*inject)(soak_fleet& fleet);
};

std::span<const soak_fault> soak_faults();

}  // namespace rosemarydrum
