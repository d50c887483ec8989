#pragma once

#include <memory>
#include <unordered_map>

#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Where a configuration sends a flow; nullptr where it does not say.
struct flow_route {
  const route* from = nullptr;
  const route_target* target = nullptr;
};

/// The routes of one configuration by address.
class route_table {
 public:
  route_table() = default;
  explicit route_table(std::shared_ptr<const fleet_configuration> source);

  /// Nullptr if no route has this address.
  const route* find(const endpoint& address) const;
  /// The route of a flow, and the target that it always has.
  flow_route route_of(const flow_ends& flow) const;
  /// The service of a target; one without settings if it is not listed.
  const fleet_service& service(const std::string& name) const;
  /// The longest time that an upstream of any service is cold.
  duration longest_warmup() const;
  /// False before there is a configuration.
  bool is_known() const { return source_ != nullptr; }
  std::uint64_t version() const { return source_ ? source_->version : 0; }

  /// The target for the new flow that `draw` (any number) stands for.
  static const route_target* target_for(const route& from, std::uint64_t draw);

 private:
  std::shared_ptr<const fleet_configuration> source_;
  std::unordered_map<std::uint64_t, const route*> by_address_;
  std::unordered_map<std::string, const fleet_service*> by_name_;
};

}  // namespace rosemarydrum
