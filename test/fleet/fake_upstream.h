#pragma once

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/platform_texts.h"
#include "platform/packet_codec.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

enum class answer_kind : std::uint8_t { handshake, response, reset };

/// What an upstream sends to a caller.
struct upstream_answer {
  answer_kind kind = answer_kind::handshake;
  flow_ends flow;
  std::uint32_t echo = 0;
  std::string upstream;
  /// After it took the packet.
  duration delay{0};
  std::uint32_t bytes = 0;
};

/// An upstream by the platform's protocol: takes packets that name it, opens
/// flows, answers one request on each, resets what it does not know.
class fake_upstream {
 public:
  fake_upstream(const std::string& digits, platform_texts::entry written)
      : id("i-" + digits),
        key(std::stoull(digits, nullptr, 16)),
        entry(std::move(written)) {}

  /// Takes a datagram with the 8 bytes before the packet.
  std::vector<upstream_answer> take(const bytes& datagram) {
    if (!alive || datagram.size() < 8) {
      return {};
    }
    const auto intended = boost::endian::load_big_u64(datagram.data());
    const auto packet =
        codec_.decode(bytes_view(datagram).subspan(codec_.headroom()));
    if (!packet) {
      ++malformed;
      return {};
    }
    if (intended != key) {
      ++for_others;
      return {};
    }
    const auto tag = value_of(packet->tag);
    if (packet->opens) {
      openings.push_back(runtime_clock::now());
      flows_[packet->flow] = false;
      return {{answer_kind::handshake, packet->flow, tag, id, duration(0), 0}};
    }
    const auto known = flows_.find(packet->flow);
    if (known == flows_.end()) {
      return {{answer_kind::reset, packet->flow, tag, id, duration(0), 0}};
    }
    if (packet->finishes || packet->resets) {
      flows_.erase(known);
      return {};
    }
    if (packet->data.empty() || std::exchange(known->second, true)) {
      return {};
    }
    ++requests;
    if (fails) {
      return {{answer_kind::response, packet->flow, tag, id, duration(0),
               error_bytes}};
    }
    return {{answer_kind::response, packet->flow, tag, id, work, whole_bytes}};
  }

  /// Starts anew in place: knows no flows, and is cold.
  void restart(int cold_ms) {
    flows_.clear();
    alive = true;
    entry.cold_ms = cold_ms;
    entry.born += 10'000;
  }

  /// The most openings within one second.
  std::size_t busiest_second() const {
    std::size_t most = 0;
    for (auto first = openings.begin(); first != openings.end(); ++first) {
      const auto end = std::find_if(first, openings.end(), [&](auto at) {
        return at >= *first + seconds(1);
      });
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
  std::size_t openings_since(time_point from) const {
    return static_cast<std::size_t>(std::count_if(
        openings.begin(), openings.end(), [&](auto at) { return at >= from; }));
  }

  std::string id;
  std::uint64_t key;
  platform_texts::entry entry;
  bool alive = true;
  /// It answers each request with an error, at once.
  bool fails = false;
  duration work = milliseconds(50);
  std::vector<time_point> openings;
  int requests = 0;
  int for_others = 0;
  int malformed = 0;

 private:
  static constexpr std::uint32_t error_bytes = 150;
  static constexpr std::uint32_t whole_bytes = 4000;

  platform::packet_codec codec_;
  /// Whether the flow's request has run.
  std::map<flow_ends, bool> flows_;
};

}  // namespace rosemarydrum
