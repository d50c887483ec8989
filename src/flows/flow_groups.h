#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// What the flows of one caller to one run of an upstream have in common.
struct flow_group {
  caller_id caller{};
  service_id service{};
  upstream_run upstream;
  /// The upstream's flows were ended; they are removed when next looked at.
  bool ended = false;
  std::uint32_t flows = 0;
};

/// Numbers the groups, so that a flow's entry holds 4 bytes in place of 20.
class flow_groups {
 public:
  /// The number of the group, made if there is none; counts one flow more.
  std::uint32_t join(caller_id caller, service_id service,
                     upstream_run upstream);
  /// Counts one flow less; a group without flows is freed.
  void leave(std::uint32_t index);
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
  std::vector<std::uint32_t> free_;
  /// Groups that have not ended.
  std::unordered_map<group_key, std::uint32_t, group_hash> index_;
};

}  // namespace rosemarydrum::detail
