#pragma once

#include <cstdint>

#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Number of failed requests at one upstream since the last report.
struct upstream_failures {
  upstream_key upstream{};
  std::uint32_t count = 0;

  friend bool operator==(const upstream_failures&,
                         const upstream_failures&) = default;
};

/// Failures of one upstream, as counted by one process.
struct reported_failures {
  incarnation reporter{};
  upstream_failures failures;

  friend bool operator==(const reported_failures&,
                         const reported_failures&) = default;
};

}  // namespace rosemarydrum
