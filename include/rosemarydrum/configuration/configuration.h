#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/types.h"

/// The configuration made by operators and service owners.
namespace rosemarydrum {

/// State of a data centre or an upstream, as set by operators.
enum class service_state : std::uint8_t {
  in,
  /// Upstream: no new requests, running ones are finished. Data centre:
  /// receives no packets.
  out,
};

/// An IPv4 prefix that the platform assigns to a calling team.
struct ip_prefix {
  std::uint32_t address = 0;
  /// 0 to 32 bits.
  std::uint8_t length = 32;

  constexpr bool contains(std::uint32_t other) const {
    const std::uint32_t mask =
        length == 0 ? 0 : ~std::uint32_t{0} << (32 - length);
    return (address & mask) == (other & mask);
  }
  friend bool operator==(const ip_prefix&, const ip_prefix&) = default;
};

/// An owner's permission for a calling team to use one service.
struct approval {
  caller_id caller{};
  std::string team;
  ip_prefix source;
  /// Whether all requests of the team are idempotent, according to its
  /// questionnaire.
  bool idempotent = true;
  /// Highest priority that the team's requests may state.
  std::uint8_t max_priority = 0;
  /// Expected load, in requests per second; the admission limit.
  std::uint32_t requests_per_second = 0;

  friend bool operator==(const approval&, const approval&) = default;
};

struct upstream {
  upstream_id id{};
  data_centre_id data_centre{};
  endpoint address;
  /// Requests that it runs concurrently after warm-up, 1 to 1,024.
  std::uint16_t slots = 1;
  service_state state = service_state::in;

  friend bool operator==(const upstream&, const upstream&) = default;
};

/// A service address with its upstreams: one document of the store.
struct service {
  service_id id{};
  std::string name;
  std::string owner;
  endpoint address;
  std::vector<approval> approvals;
  std::vector<upstream> upstreams;

  friend bool operator==(const service&, const service&) = default;
};

/// A balancer as its data centre's document lists it.
struct balancer_entry {
  balancer_id id{};
  endpoint address;

  friend bool operator==(const balancer_entry&,
                         const balancer_entry&) = default;
};

/// A data centre with its balancers: one document of the store.
struct data_centre {
  data_centre_id id{};
  std::string name;
  service_state state = service_state::in;
  /// The members of the cell, which vote on shard leases.
  std::vector<balancer_entry> balancers;

  friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// A document as stored: key, JSON text, revision of its last
/// change. A deleted document keeps its revision and has empty text.
struct document {
  std::string key;
  std::string text;
  revision changed{};

  friend bool operator==(const document&, const document&) = default;
};

/// The decoded documents.
struct configuration {
  /// All documents that changed up to this revision are included; some later
  /// ones may be.
  revision highest{};
  std::map<service_id, service> services;
  std::map<data_centre_id, data_centre> data_centres;
  /// Index of `services`, kept by `put` and `remove`. A service that was
  /// inserted into `services` directly is found by a linear search.
  std::unordered_map<std::uint64_t, service_id> service_addresses{};

  /// Inserts or replaces by id.
  void put(service value);
  void put(data_centre value);
  void remove(service_id id);
  void remove(data_centre_id id);

  const service* find_service(service_id id) const;
  const service* find_service(const endpoint& address) const;
  /// Returns nullptr if the service has no upstream with this id.
  const upstream* find_upstream(service_id service, upstream_id id) const;
  /// True also for a data centre without a document, so that a deleted data
  /// centre receives no packets.
  bool is_out(data_centre_id id) const;
};

}  // namespace rosemarydrum
