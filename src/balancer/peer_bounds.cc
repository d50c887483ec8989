#include <algorithm>

#include "balancer/peer_codec.h"

namespace rosemarydrum::detail {
namespace {

constexpr std::size_t max_key_size = 512;
constexpr std::uint8_t max_hops = 1;

bool are_valid(const std::vector<shard_id>& shards) {
  return shards.size() <= shard_count &&
         std::all_of(shards.begin(), shards.end(), [](shard_id shard) {
           return value_of(shard) < shard_count;
         });
}

bool is_valid(shard_id shard) { return value_of(shard) < shard_count; }

template <typename Entry>
bool is_valid(const std::vector<Entry>& list) {
  return list.size() <= max_list_size;
}

bool is_valid(const heartbeat& m) {
  return are_valid(m.wanted) && are_valid(m.granted) && are_valid(m.held) &&
         is_valid(m.limits);
}
bool is_valid(const slot_ask& m) { return is_valid(m.avoid); }
bool is_valid(const slot_answer& m) { return m.error < error_kind::count; }
bool is_valid(const slot_release& m) {
  return m.outcome <= attempt_outcome::reset;
}
bool is_valid(const grants_report& m) {
  return is_valid(m.shard) && is_valid(m.grants);
}
bool is_valid(const lease_handover& m) {
  return is_valid(m.shard) && is_valid(m.grants) && is_valid(m.limits);
}
bool is_valid(const request_forward& m) {
  return m.hops <= max_hops &&
         m.datagram.size() <= header_size + max_token + max_payload;
}
bool is_valid(const flow_copy& m) {
  return is_valid(m.fingerprints) &&
         m.fingerprints.size() == m.upstreams.size();
}
bool is_valid(const config_push& m) {
  std::size_t total = 0;
  for (const auto& entry : m.documents) {
    if (entry.key.size() > max_key_size) {
      return false;
    }
    total += entry.key.size() + entry.text.size();
  }
  return is_valid(m.documents) && total <= max_peer_message;
}
bool is_valid(const events_page& m) { return is_valid(m.events); }

// Messages without lists in which any field value is valid.
template <typename Message>
bool is_valid(const Message&) {
  return true;
}

}  // namespace

bool in_bounds(const peer_body& body) {
  return std::visit([](const auto& message) { return is_valid(message); },
                    body);
}

}  // namespace rosemarydrum::detail
