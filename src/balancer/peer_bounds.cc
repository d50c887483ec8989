#include <algorithm>

#include "balancer/peer_codec.h"

namespace rosemarydrum::detail {
namespace {

constexpr std::size_t max_key = 512;
constexpr std::uint8_t max_hops = 1;

bool shards_ok(const std::vector<shard_id>& shards) {
  return shards.size() <= shard_count &&
         std::all_of(shards.begin(), shards.end(), [](shard_id shard) {
           return value_of(shard) < shard_count;
         });
}

bool ok(shard_id shard) { return value_of(shard) < shard_count; }

template <typename Entry>
bool ok(const std::vector<Entry>& list) {
  return list.size() <= max_list;
}

bool ok(const heartbeat& m) {
  return shards_ok(m.wanted) && shards_ok(m.granted) && shards_ok(m.held) &&
         ok(m.limits);
}
bool ok(const slot_ask& m) { return ok(m.avoid); }
bool ok(const slot_answer& m) { return m.error < error_kind::count; }
bool ok(const slot_release& m) { return m.outcome <= attempt_outcome::reset; }
bool ok(const grants_report& m) { return ok(m.shard) && ok(m.grants); }
bool ok(const lease_handover& m) {
  return ok(m.shard) && ok(m.grants) && ok(m.limits);
}
bool ok(const request_forward& m) {
  return m.hops <= max_hops &&
         m.datagram.size() <= header_size + max_token + max_payload;
}
bool ok(const flow_copy& m) {
  return ok(m.fingerprints) && m.fingerprints.size() == m.upstreams.size();
}
bool ok(const config_push& m) {
  std::size_t total = 0;
  for (const auto& entry : m.documents) {
    if (entry.key.size() > max_key) {
      return false;
    }
    total += entry.key.size() + entry.text.size();
  }
  return ok(m.documents) && total <= max_peer_message;
}
bool ok(const events_page& m) { return ok(m.events); }

// Messages of fixed size, any value of whose fields is valid.
template <typename Message>
bool ok(const Message&) {
  return true;
}

}  // namespace

bool in_bounds(const peer_body& body) {
  return std::visit([](const auto& message) { return ok(message); }, body);
}

}  // namespace rosemarydrum::detail
