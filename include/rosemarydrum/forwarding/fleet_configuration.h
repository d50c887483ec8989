#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What a route's requests allow.
enum class request_type : std::uint8_t {
  idempotent,
  /// Runs once at most.
  non_idempotent,
  /// Idempotent with a long answer.
  download,
};

/// A service that a route's new flows go to.
struct route_target {
  std::string service;
  /// Share of the new flows, relative to the route's other targets.
  std::uint32_t weight = 1;

  friend bool operator==(const route_target&, const route_target&) = default;
};

/// An address that callers open flows to.
struct route {
  std::string name;
  endpoint address;
  std::vector<route_target> targets;
  request_type type = request_type::idempotent;
  /// Longest time of a request.
  milliseconds timeout{0};
  /// Time within which callers want the answer.
  milliseconds objective{0};
  /// 0 is the highest.
  std::uint8_t priority = 0;

  friend bool operator==(const route&, const route&) = default;
};

/// What holds for all upstreams of a service.
struct fleet_service {
  std::string name;
  /// Time that an upstream is cold after its start.
  milliseconds warmup{0};
  /// Requests a second that a cold upstream bears.
  double cold_requests_per_second = 0;

  friend bool operator==(const fleet_service&, const fleet_service&) = default;
};

/// The operators' configuration; replaced as a whole.
struct fleet_configuration {
  /// The operators' number of it.
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<fleet_service> services;
  /// A flow without packets for this long may be forgotten.
  milliseconds idle_timeout{0};

  friend bool operator==(const fleet_configuration&,
                         const fleet_configuration&) = default;
};

}  // namespace rosemarydrum
