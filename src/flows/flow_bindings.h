#pragma once

#include <array>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <optional>

#include "flows/flow_groups.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Milliseconds since the clock's epoch, modulo 2^32 (49 days). Entries are
/// removed long before it wraps.
using flow_time = std::uint32_t;

/// Exact bindings: 16 bytes for each flow and 1 byte of the hash table.
class flow_bindings {
 public:
  flow_bindings() = default;
  // The parts refer to the groups.
  flow_bindings(const flow_bindings&) = delete;
  flow_bindings& operator=(const flow_bindings&) = delete;

  /// False if the flow is new and `max` flows are bound.
  bool bind(const flow_key& flow, upstream_run upstream, std::size_t max,
            flow_time now);
  /// The upstream of a flow that was seen within `idle`; renews it.
  std::optional<upstream_run> find(const flow_key& flow, flow_time idle,
                                   flow_time now);
  void erase(const flow_key& flow);
  void end_upstream(upstream_id upstream) { groups_.end_upstream(upstream); }
  /// Removes what is over in the next of 64 parts, so that no call takes long.
  void sweep(flow_time idle, flow_time now);

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const;

 private:
  static constexpr std::size_t part_count = 64;

  struct entry {
    flow_id flow{};
    std::uint32_t group = 0;
    mutable flow_time last_seen = 0;
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
  using part = boost::unordered_flat_set<entry, entry_hash, entry_equal>;

  template <std::size_t... Index>
  std::array<part, part_count> make_parts(std::index_sequence<Index...>) {
    return {
        ((void)Index, part(0, entry_hash{&groups_}, entry_equal{&groups_}))...};
  }
  // The flat sets use the high bits of the hash for positions.
  part& part_of(const flow_key& flow) {
    return parts_[std::hash<flow_key>{}(flow) / 256 % part_count];
  }
  void remove(part& from, part::iterator at);

  flow_groups groups_;
  std::array<part, part_count> parts_ =
      make_parts(std::make_index_sequence<part_count>{});
  std::size_t size_ = 0;
  std::size_t next_part_ = 0;
};

}  // namespace rosemarydrum::detail
