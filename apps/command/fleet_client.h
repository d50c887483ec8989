#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/events/event_record.h"

namespace rosemarydrum {

/// The answer of one balancer; either `value` or `problem` is set.
template <typename T>
struct fleet_answer {
  balancer_entry from;
  std::optional<T> value;
  std::string problem;
};

struct fleet_status {
  balancer_run self;
  data_centre_id data_centre{};
  balancer_status state;
};

/// Queries balancers over RPC concurrently. Returns one answer for each
/// balancer, in the order of the balancers.
class fleet_client {
 public:
  virtual ~fleet_client() = default;

  virtual std::vector<fleet_answer<fleet_status>> status(
      std::span<const balancer_entry> balancers, milliseconds timeout) = 0;
  /// Returns all events that each balancer still holds.
  virtual std::vector<fleet_answer<std::vector<event_record>>> events(
      std::span<const balancer_entry> balancers, milliseconds timeout) = 0;
};

}  // namespace rosemarydrum
