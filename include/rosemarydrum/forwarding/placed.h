#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "rosemarydrum/forwarding/upstream_directory.h"

namespace rosemarydrum {

/// Why an upstream was chosen.
enum class placement_reason : std::uint8_t {
  least_loaded,
  /// It is cold, and nothing else can take the flow.
  cold,
  /// It was silent and is tried again.
  probe,
};

inline constexpr std::array<std::string_view, 3> placement_reason_names{
    {"least_loaded", "cold", "probe"}};

constexpr std::string_view name_of(placement_reason reason) {
  return placement_reason_names[static_cast<std::size_t>(reason)];
}

/// The choice of an upstream for a new flow.
struct placed {
  upstream_index upstream{};
  placement_reason reason = placement_reason::least_loaded;
  /// Flows of this process at the upstream before this one.
  std::uint32_t in_flight = 0;
  /// Upstreams that could have taken the flow.
  std::uint32_t candidates = 0;
};

/// Why the upstreams of a service could not take a flow.
struct upstream_census {
  std::uint32_t listed = 0;
  std::uint32_t draining = 0;
  std::uint32_t cold = 0;
  std::uint32_t silent = 0;
  /// In data centres that operators have taken out.
  std::uint32_t out = 0;
  /// They take flows, but have not answered this process.
  std::uint32_t unreachable = 0;
};

}  // namespace rosemarydrum
