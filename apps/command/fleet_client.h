#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/events/event_record.h"

namespace rosemarydrum {

/// What one balancer has answered; `value` or `problem` is set.
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

/// Asks balancers over RPC, all at the same time. An answer for each balancer
/// in their order.
class fleet_client {
 public:
  virtual ~fleet_client() = default;

  virtual std::vector<fleet_answer<fleet_status>> status(
      std::span<const balancer_entry> balancers, milliseconds timeout) = 0;
  /// The whole time line that each still has.
  virtual std::vector<fleet_answer<std::vector<event_record>>> events(
      std::span<const balancer_entry> balancers, milliseconds timeout) = 0;
};

}  // namespace rosemarydrum
