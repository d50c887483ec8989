#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarydrum {

/// A forwarder as the fabric sees it.
template <typename Node>
struct rotation_entry {
  Node* node = nullptr;
  std::string data_centre;
  bool in_rotation = false;
};

/// Where the fabric sends a packet: to the nodes in rotation of the caller's
/// data centre; to all of them if fewer than half are; to those of the next
/// data centres if none is. Nullptr if there is none at all.
template <typename Node>
Node* route_in_rotation(std::vector<std::string> data_centres,
                        const std::string& callers,
                        const std::vector<rotation_entry<Node>>& entries,
                        std::uint64_t hash) {
  std::stable_partition(data_centres.begin(), data_centres.end(),
                        [&](const auto& centre) { return centre == callers; });
  for (const auto& centre : data_centres) {
    std::vector<Node*> all;
    std::vector<Node*> ready;
    for (const auto& entry : entries) {
      if (entry.data_centre == centre) {
        all.push_back(entry.node);
        if (entry.in_rotation) {
          ready.push_back(entry.node);
        }
      }
    }
    if (!ready.empty()) {
      const auto& chosen = ready.size() * 2 < all.size() ? all : ready;
      return chosen[hash % chosen.size()];
    }
  }
  return nullptr;
}

}  // namespace rosemarydrum
