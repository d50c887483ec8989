#include "rosemarydrum/rendezvous.h"

#include <algorithm>

namespace rosemarydrum {

std::optional<balancer_id> rendezvous_first(
    std::uint64_t key, std::span<const balancer_id> members) {
  if (members.empty()) {
    return std::nullopt;
  }
  return *std::max_element(
      members.begin(), members.end(), [key](balancer_id a, balancer_id b) {
        return rendezvous_weight(key, a) < rendezvous_weight(key, b);
      });
}

std::vector<balancer_id> rendezvous_order(
    std::uint64_t key, std::span<const balancer_id> members) {
  std::vector<balancer_id> order(members.begin(), members.end());
  std::sort(order.begin(), order.end(), [key](balancer_id a, balancer_id b) {
    return rendezvous_weight(key, a) > rendezvous_weight(key, b);
  });
  return order;
}

}  // namespace rosemarydrum
