#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// The common part of the bindings of one caller and service to one run of an
/// upstream.
struct flow_group {
  caller_id caller{};
  service_id service{};
  upstream_run upstream;
  /// The flows have ended. Their bindings are removed when they are next looked
  /// up or swept.
  bool ended = false;
  std::uint32_t flow_count = 0;
};

/// Reference-counted flow groups, each with an index. A binding stores the
/// index (4 bytes) in place of the group's key (20 bytes).
class flow_groups {
 public:
  /// Adds a flow to its group, which is created if necessary, and returns the
  /// group's index.
  std::uint32_t add_flow(caller_id caller, service_id service,
                         upstream_run upstream);
  /// Removes a flow from its group and frees the group if it is empty.
  void remove_flow(std::uint32_t index);
  /// Ends all groups of `upstream`. A later flow there gets a new group.
  void end_upstream(upstream_id upstream);
  const flow_group& operator[](std::uint32_t index) const {
    return groups_[index];
  }
  std::size_t memory_bytes() const;

 private:
  struct group_key {
    caller_id caller{};
    service_id service{};
    upstream_run upstream;
    friend bool operator==(const group_key&, const group_key&) = default;
  };
  struct group_hash {
    std::size_t operator()(const group_key& key) const {
      return mix(mix(mix(value_of(key.caller), value_of(key.service)),
                     value_of(key.upstream.id)),
                 value_of(key.upstream.run));
    }
  };

  std::vector<flow_group> groups_;
  std::vector<std::uint32_t> free_indexes_;
  /// Indexes of the groups that have flows and have not ended.
  std::unordered_map<group_key, std::uint32_t, group_hash> index_;
};

}  // namespace rosemarydrum::detail
