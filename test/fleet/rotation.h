#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarydrum {

/// A forwarder in the routing table of the fabric.
template <typename Node>
struct rotation_entry {
  Node* node = nullptr;
  std::string data_centre;
  bool in_rotation = false;
};

/// Returns the node to which the fabric sends a packet: one in rotation of the
/// caller's data centre; any node of it if fewer than half are in rotation; one
/// of the next data centre if none is. Returns nullptr if no node is in
/// rotation.
template <typename Node>
Node* route_in_rotation(std::vector<std::string> data_centres,
                        const std::string& caller_data_centre,
                        const std::vector<rotation_entry<Node>>& entries,
                        std::uint64_t hash) {
  std::stable_partition(
      data_centres.begin(), data_centres.end(),
      [&](const auto& centre) { return centre == caller_data_centre; });
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
