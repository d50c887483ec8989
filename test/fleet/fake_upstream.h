#pragma once

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/platform_texts.h"
#include "platform/packet_codec.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

enum class answer_kind : std::uint8_t { handshake, response, reset };

/// A packet of an upstream to a caller.
struct upstream_answer {
  answer_kind kind = answer_kind::handshake;
  flow_ends flow;
  std::uint32_t echo = 0;
  std::string upstream;
  /// Time from the receipt of the packet to the answer.
  duration delay{0};
  std::uint32_t bytes = 0;
  /// In a handshake, the upstream's initial sequence number.
  std::uint32_t sequence = 0;
};

/// An upstream that follows the platform's protocol: accepts packets addressed
/// to it, opens flows, answers the requests on each, and resets unknown flows.
class fake_upstream {
 public:
  fake_upstream(const std::string& hex_id, platform_texts::entry initial_entry)
      : id("i-" + hex_id),
        key(std::stoull(hex_id, nullptr, 16)),
        entry(std::move(initial_entry)) {}

  /// Handles a datagram: 8 bytes with the key of the destination upstream, then
  /// the packet.
  std::vector<upstream_answer> take(const bytes& datagram) {
    if (!alive || datagram.size() < 8) {
      return {};
    }
    const auto destination = boost::endian::load_big_u64(datagram.data());
    const auto packet =
        codec_.decode(bytes_view(datagram).subspan(codec_.headroom()));
    if (!packet) {
      ++malformed;
      return {};
    }
    if (destination != key) {
      ++misaddressed;
      return {};
    }
    const auto tag = value_of(packet->tag);
    if (packet->opens) {
      openings.push_back(runtime_clock::now());
      auto [held, is_new] = flows_.try_emplace(packet->flow);
      if (!is_new && loses_copies) {
        return {};
      }
      if (is_new) {
        held->second.initial_sequence = next_sequence_ += 1000;
      }
      held->second.echo = tag;
      return {handshake_of(packet->flow, held->second)};
    }
    const auto found = flows_.find(packet->flow);
    const bool acknowledges_another =
        found != flows_.end() && !found->second.is_open &&
        packet->acknowledged != found->second.initial_sequence + 1;
    if (found == flows_.end() || acknowledges_another) {
      return {{answer_kind::reset, packet->flow, tag, id, duration(0), 0}};
    }
    auto& held = found->second;
    held.is_open = true;
    held.echo = tag;
    if (packet->finishes || packet->resets) {
      flows_.erase(found);
      return {};
    }
    if (packet->data.empty() || packet->sequence <= held.request_sequence) {
      return {};
    }
    held.request_sequence = packet->sequence;
    ++requests;
    if (fails) {
      return {{answer_kind::response, packet->flow, tag, id, duration(0),
               error_response_bytes}};
    }
    return {{answer_kind::response, packet->flow, tag, id, processing_time,
             response_bytes}};
  }

  /// Answers the opening packet once more; nullopt if the caller has opened the
  /// flow here, or the flow is not known.
  std::optional<upstream_answer> repeat_handshake(const flow_ends& flow) const {
    const auto found = flows_.find(flow);
    if (!alive || found == flows_.end() || found->second.is_open) {
      return std::nullopt;
    }
    return handshake_of(flow, found->second);
  }

  /// Simulates a restart at the same address: drops all flows, and is cold.
  void restart(int cold_ms) {
    flows_.clear();
    alive = true;
    entry.cold_ms = cold_ms;
    entry.born += 10'000;
  }

  /// Returns the highest number of openings within any one second.
  std::size_t max_openings_per_second() const {
    std::size_t result = 0;
    for (auto first = openings.begin(); first != openings.end(); ++first) {
      const auto end = std::find_if(first, openings.end(), [&](auto at) {
        return at >= *first + seconds(1);
      });
      result = std::max(result, static_cast<std::size_t>(end - first));
    }
    return result;
  }
  std::size_t openings_since(time_point from) const {
    return static_cast<std::size_t>(std::count_if(
        openings.begin(), openings.end(), [&](auto at) { return at >= from; }));
  }

  std::string id;
  std::uint64_t key;
  platform_texts::entry entry;
  bool alive = true;
  /// Whether it keeps an entry in the store.
  bool listed = true;
  /// While set, answers each request with an error, at once.
  bool fails = false;
  duration processing_time = milliseconds(50);
  std::vector<time_point> openings;
  int requests = 0;
  int misaddressed = 0;
  int malformed = 0;
  /// Number of answers to opening packets that the network loses next.
  int handshakes_to_lose = 0;
  /// While set, the network loses copies of opening packets on the way here.
  bool loses_copies = false;

 private:
  static constexpr std::uint32_t error_response_bytes = 150;
  static constexpr std::uint32_t response_bytes = 4000;

  struct held_flow {
    std::uint32_t initial_sequence = 0;
    /// Whether the caller has acknowledged the handshake.
    bool is_open = false;
    /// The tag of the latest packet.
    std::uint32_t echo = 0;
    /// Sequence number of the latest request.
    std::uint32_t request_sequence = 0;
  };

  upstream_answer handshake_of(const flow_ends& flow,
                               const held_flow& held) const {
    return {answer_kind::handshake, flow, held.echo, id, duration(0), 0,
            held.initial_sequence};
  }

  platform::packet_codec codec_;
  std::map<flow_ends, held_flow> flows_;
  std::uint32_t next_sequence_ = static_cast<std::uint32_t>(key);
};

}  // namespace rosemarydrum
