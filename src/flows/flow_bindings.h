#pragma once

#include <array>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <optional>

#include "flows/flow_groups.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Milliseconds since the clock's epoch, modulo 2^32 (49 days). Idle entries
/// are removed long before it wraps around.
using flow_timestamp = std::uint32_t;

/// Bindings by the full flow key. Each takes 16 bytes and 1 byte of hash table
/// metadata.
class flow_bindings {
 public:
  flow_bindings() = default;
  // The partitions' hash functions point to `groups_`.
  flow_bindings(const flow_bindings&) = delete;
  flow_bindings& operator=(const flow_bindings&) = delete;

  /// Binds the flow or renews its binding. Returns false if the flow is new and
  /// `max` flows are bound.
  bool bind(const flow_key& flow, upstream_run upstream, std::size_t max,
            flow_timestamp now);
  /// The upstream of a flow that was seen within `idle` milliseconds; renews
  /// the binding.
  std::optional<upstream_run> find(const flow_key& flow, flow_timestamp idle,
                                   flow_timestamp now);
  void erase(const flow_key& flow);
  void end_upstream(upstream_id upstream) { groups_.end_upstream(upstream); }
  /// Removes the idle and ended bindings of the next of 64 partitions, so that
  /// no call takes long.
  void sweep(flow_timestamp idle, flow_timestamp now);

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const;

 private:
  static constexpr std::size_t partition_count = 64;

  struct entry {
    flow_id flow{};
    std::uint32_t group = 0;
    /// Mutable in a set's entry, because it is neither hashed nor compared.
    mutable flow_timestamp last_seen = 0;
  };
  static_assert(sizeof(entry) == 16);

  struct entry_hash {
    using is_transparent = void;
    using is_avalanching = void;
    const flow_groups* groups = nullptr;

    std::size_t operator()(const flow_key& key) const {
      return std::hash<flow_key>{}(key);
    }
    std::size_t operator()(const entry& e) const {
      const flow_group& group = (*groups)[e.group];
      return (*this)(flow_key{group.caller, group.service, e.flow});
    }
  };
  struct entry_equal {
    using is_transparent = void;
    const flow_groups* groups = nullptr;

    bool operator()(const flow_key& key, const entry& e) const {
      if (key.flow != e.flow) {
        return false;
      }
      const flow_group& group = (*groups)[e.group];
      return key.caller == group.caller && key.service == group.service;
    }
    bool operator()(const entry& e, const flow_key& key) const {
      return (*this)(key, e);
    }
    bool operator()(const entry& a, const entry& b) const {
      const flow_group& group = (*groups)[b.group];
      return (*this)(flow_key{group.caller, group.service, b.flow}, a);
    }
  };
  using partition = boost::unordered_flat_set<entry, entry_hash, entry_equal>;

  template <std::size_t... Index>
  std::array<partition, partition_count> make_partitions(
      std::index_sequence<Index...>) {
    return {((void)Index,
             partition(0, entry_hash{&groups_}, entry_equal{&groups_}))...};
  }
  // Bits 8 to 13 of the hash, because the flat sets use the high bits for
  // positions.
  partition& partition_of(const flow_key& flow) {
    return partitions_[std::hash<flow_key>{}(flow) / 256 % partition_count];
  }
  void remove(partition& from, partition::iterator it);

  flow_groups groups_;
  std::array<partition, partition_count> partitions_ =
      make_partitions(std::make_index_sequence<partition_count>{});
  std::size_t size_ = 0;
  std::size_t next_partition_ = 0;
};

}  // namespace rosemarydrum::detail
