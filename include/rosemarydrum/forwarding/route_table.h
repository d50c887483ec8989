#pragma once

#include <memory>
#include <unordered_map>

#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The route and target of a flow; nullptr if the configuration has none.
struct flow_route {
  const route* matched_route = nullptr;
  const route_target* target = nullptr;
};

/// Looks up the routes and services of one configuration.
class route_table {
 public:
  route_table() = default;
  explicit route_table(std::shared_ptr<const fleet_configuration> source);

  /// Returns nullptr if no route has this address.
  const route* find(const endpoint& address) const;
  /// Returns the route and target of a flow; equal flows get the same target.
  flow_route route_of(const flow_ends& flow) const;
  /// Returns the settings of a service; default settings if it is not listed.
  const fleet_service& service(const std::string& name) const;
  /// Returns the longest warm-up time of all services.
  duration longest_warmup() const {
    return source_ ? source_->longest_warmup() : milliseconds(0);
  }
  /// Whether the requests of a flow may be repeated; false if it has no route.
  bool is_repeatable(const flow_ends& flow) const;
  /// Flows without packets for longer may be dropped.
  duration idle_timeout() const {
    return source_ ? source_->idle_timeout : milliseconds(0);
  }
  /// False before there is a configuration.
  bool is_known() const { return source_ != nullptr; }
  std::uint64_t version() const { return source_ ? source_->version : 0; }

  /// Maps `draw`, any number, to a target in proportion to the weights; nullptr
  /// if all weights are 0.
  static const route_target* target_for(const route& matched_route,
                                        std::uint64_t draw);

 private:
  std::shared_ptr<const fleet_configuration> source_;
  std::unordered_map<std::uint64_t, const route*> by_address_;
  std::unordered_map<std::string, const fleet_service*> by_name_;
};

}  // namespace rosemarydrum
