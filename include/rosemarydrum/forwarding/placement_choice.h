#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "rosemarydrum/forwarding/upstream_directory.h"

namespace rosemarydrum {

/// Why an upstream was chosen.
enum class placement_reason : std::uint8_t {
  least_loaded,
  /// The upstream is cold, and no healthy warm one can take the flow.
  cold,
  /// The upstream is silent and is retried.
  probe,
};

inline constexpr std::array<std::string_view, 3> placement_reason_names{
    {"least_loaded", "cold", "probe"}};

constexpr std::string_view name_of(placement_reason reason) {
  return placement_reason_names[static_cast<std::size_t>(reason)];
}

/// The upstream chosen for a new flow, and why.
struct placement_choice {
  upstream_index upstream{};
  placement_reason reason = placement_reason::least_loaded;
  /// Other flows of this process at the upstream.
  std::uint32_t in_flight = 0;
  /// Number of upstreams that could have taken the flow.
  std::uint32_t candidates = 0;
};

/// Numbers of a service's upstreams by state, to explain why none could take a
/// flow.
struct upstream_counts {
  std::uint32_t listed = 0;
  std::uint32_t draining = 0;
  std::uint32_t cold = 0;
  std::uint32_t silent = 0;
  /// Upstreams in data centres that operators have taken out of service.
  std::uint32_t out = 0;
  /// Upstreams that accept flows but are silent towards this process.
  std::uint32_t unreachable = 0;
};

}  // namespace rosemarydrum
