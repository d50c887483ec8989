#include "rosemarydrum/forwarding/route_table.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

std::uint64_t key_of(const endpoint& address) {
  return (std::uint64_t{address.address} << 16) | address.port;
}

}  // namespace

route_table::route_table(std::shared_ptr<const fleet_configuration> source)
    : source_(std::move(source)) {
  by_address_.reserve(source_->routes.size());
  for (const auto& each : source_->routes) {
    by_address_.emplace(key_of(each.address), &each);
  }
  for (const auto& each : source_->services) {
    by_name_.emplace(each.name, &each);
  }
}

const route* route_table::find(const endpoint& address) const {
  const auto found = by_address_.find(key_of(address));
  return found == by_address_.end() ? nullptr : found->second;
}

flow_route route_table::route_of(const flow_ends& flow) const {
  const auto* matched_route = find(flow.service);
  return {matched_route,
          matched_route == nullptr
              ? nullptr
              : target_for(*matched_route, std::hash<flow_ends>{}(flow))};
}

const fleet_service& route_table::service(const std::string& name) const {
  static const fleet_service unlisted;
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? unlisted : *found->second;
}

bool route_table::is_repeatable(const flow_ends& flow) const {
  const auto* matched_route = find(flow.service);
  return matched_route != nullptr &&
         matched_route->type != request_type::non_idempotent;
}

const route_target* route_table::target_for(const route& matched_route,
                                            std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const auto& each : matched_route.targets) {
    total += each.weight;
  }
  if (total == 0) {
    return nullptr;
  }
  auto left = draw % total;
  for (const auto& each : matched_route.targets) {
    if (left < each.weight) {
      return &each;
    }
    left -= each.weight;
  }
  return nullptr;
}

}  // namespace rosemarydrum
