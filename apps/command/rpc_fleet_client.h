#pragma once

#include <vector>

#include "command/fleet_client.h"

namespace rosemarydrum {

/// Queries balancers over Cap'n Proto RPC on their data port plus one.
class rpc_fleet_client : public fleet_client {
 public:
  std::vector<fleet_answer<fleet_status>> status(
      std::span<const balancer_entry> balancers, milliseconds timeout) override;
  std::vector<fleet_answer<std::vector<event_record>>> events(
      std::span<const balancer_entry> balancers, milliseconds timeout) override;
};

}  // namespace rosemarydrum
