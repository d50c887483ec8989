#pragma once

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>

#include "flows/flow_bindings.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Bindings that a peer has copied here, known by fingerprint only.
class copied_flows {
 public:
  /// False if the fingerprint is new and `max` are kept.
  bool put(service_id service, std::uint32_t fingerprint, upstream_id upstream,
           std::size_t max, flow_time now);
  std::optional<upstream_id> find(service_id service, std::uint32_t fingerprint,
                                  flow_time idle, flow_time now);
  void erase(service_id service, std::uint32_t fingerprint);
  void end_upstream(upstream_id upstream);
  void sweep(flow_time idle, flow_time now);
  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t part_count = 64;

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
    flow_time last_seen = 0;
  };
  using part = boost::unordered_flat_map<key, copy, key_hash>;

  part& part_of(std::uint32_t fingerprint) {
    return parts_[fingerprint % part_count];
  }

  std::array<part, part_count> parts_;
  std::size_t size_ = 0;
  std::size_t next_part_ = 0;
};

}  // namespace rosemarydrum::detail
