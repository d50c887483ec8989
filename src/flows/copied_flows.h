#pragma once

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>

#include "flows/flow_bindings.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Bindings copied from other balancers, which identify a flow by service and
/// fingerprint only.
class copied_flows {
 public:
  /// Adds or replaces a binding. Returns false if it is new and `max` bindings
  /// exist already.
  bool put(service_id service, std::uint32_t fingerprint, upstream_id upstream,
           std::size_t max, flow_timestamp now);
  /// The upstream of a flow that was seen within `idle` milliseconds; renews
  /// the binding.
  std::optional<upstream_id> find(service_id service, std::uint32_t fingerprint,
                                  flow_timestamp idle, flow_timestamp now);
  void erase(service_id service, std::uint32_t fingerprint);
  void end_upstream(upstream_id upstream);
  /// Removes the idle bindings of the next of 64 partitions, so that no call
  /// takes long.
  void sweep(flow_timestamp idle, flow_timestamp now);
  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t partition_count = 64;

  struct key {
    service_id service{};
    std::uint32_t fingerprint = 0;
    friend bool operator==(const key&, const key&) = default;
  };
  struct key_hash {
    using is_avalanching = void;
    std::size_t operator()(const key& k) const {
      return mix(value_of(k.service), k.fingerprint);
    }
  };
  struct copy {
    upstream_id upstream{};
    flow_timestamp last_seen = 0;
  };
  using partition = boost::unordered_flat_map<key, copy, key_hash>;

  partition& partition_of(std::uint32_t fingerprint) {
    return partitions_[fingerprint % partition_count];
  }

  std::array<partition, partition_count> partitions_;
  std::size_t size_ = 0;
  std::size_t next_partition_ = 0;
};

}  // namespace rosemarydrum::detail
