#pragma once

#include <span>
#include <string_view>

#include "soak/soak_fleet.h"

namespace rosemarydrum {

/// A fault of the soak or a change of its operators.
struct soak_fault {
  std::string_view name;
  /// Strikes, arranges its own end, and returns how long it lasts.
  duration (*strike)(soak_fleet& fleet);
};

std::span<const soak_fault> soak_faults();

}  // namespace rosemarydrum
