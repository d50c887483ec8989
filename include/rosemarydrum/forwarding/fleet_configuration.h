#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// How a route's requests may be handled.
enum class request_type : std::uint8_t {
  idempotent,
  /// Must run at most once.
  non_idempotent,
  /// Idempotent, with a large response.
  download,
};

/// A service that receives new flows of a route.
struct route_target {
  std::string service;
  /// Share of the new flows, relative to the route's other targets.
  std::uint32_t weight = 1;

  friend bool operator==(const route_target&, const route_target&) = default;
};

/// A virtual address to which callers open flows.
struct route {
  std::string name;
  endpoint address;
  std::vector<route_target> targets;
  request_type type = request_type::idempotent;
  /// Time limit of a request.
  milliseconds timeout{0};
  /// Latency objective of a request.
  milliseconds objective{0};
  /// 0 is the highest priority.
  std::uint8_t priority = 0;

  friend bool operator==(const route&, const route&) = default;
};

/// Settings of all upstreams of a service.
struct fleet_service {
  std::string name;
  /// Time for which an upstream is cold after its start.
  milliseconds warmup{0};
  /// Request rate that one cold upstream can handle.
  double cold_requests_per_second = 0;

  friend bool operator==(const fleet_service&, const fleet_service&) = default;
};

/// The operators' configuration. A new version replaces it as a whole.
struct fleet_configuration {
  /// Assigned by the operators.
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<fleet_service> services;
  /// A flow may be dropped after this time without packets.
  milliseconds idle_timeout{0};

  /// The longest time for which an upstream of any service is cold.
  milliseconds longest_warmup() const {
    milliseconds longest{0};
    for (const auto& each : services) {
      longest = std::max(longest, each.warmup);
    }
    return longest;
  }

  friend bool operator==(const fleet_configuration&,
                         const fleet_configuration&) = default;
};

}  // namespace rosemarydrum
