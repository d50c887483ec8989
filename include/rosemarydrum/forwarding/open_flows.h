#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <deque>
#include <string>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/placed.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class flow_stage : std::uint8_t {
  /// Its opening packet has been sent to an upstream.
  opening,
  /// Its caller has answered the upstream.
  open,
  /// Its caller has ended it.
  ended,
};

/// A flow whose packets pass through this process.
struct open_flow {
  flow_ends ends;
  flow_stage stage = flow_stage::opening;
  upstream_index upstream{};
  /// When its first packet came.
  time_point began;
  time_point last_packet;
  /// Counted among the upstream's flows.
  bool counted = false;

  /// The rest is of flows that were placed here.
  placed choice;
  std::string route;
  milliseconds objective{0};
  /// When the opening packet was sent to `upstream`.
  time_point sent_at;
  /// Opening packets sent, of these repeated here since the caller's last one.
  std::uint8_t attempts = 0;
  std::uint8_t repeats = 0;
  /// The opening packet, until the flow is open.
  bytes opening;
  time_point opened_at;
  /// When the first data of its caller came.
  time_point first_data_at;
  /// Id of its first request; empty if it has none.
  std::string request;
  /// What its caller has acknowledged when it opened, and since.
  std::uint32_t first_acknowledged = 0;
  std::uint32_t acknowledged = 0;
  /// Its answer has been found to be good or not.
  bool judged = false;

  bool was_placed_here() const { return attempts > 0; }
  /// Bytes of answers that have reached its caller.
  std::uint32_t answer_bytes() const {
    return acknowledged - first_acknowledged;
  }
};

/// A flow without packets for this long is forgotten: it has ended, it is idle
/// and no load, or its packets pass through another process.
inline constexpr seconds silent_flow_lifetime{3};
inline constexpr std::size_t max_open_flows = 200'000;

/// The flows of the last seconds, for the load of upstreams and for packets
/// whose tag differs from that of their flow. Nothing depends on a flow being
/// here: its tag leads to its upstream.
class open_flows {
 public:
  open_flow* find(const flow_ends& ends);
  /// Nullptr if there are `max_open_flows`.
  open_flow* insert(const flow_ends& ends, time_point now);
  void erase(const flow_ends& ends);

  /// Calls `forget` for each flow that has been silent for its time, and drops
  /// it.
  template <typename Forget>
  void expire(time_point now, Forget&& forget) {
    while (!due_.empty() && due_.front().at <= now) {
      const auto next = due_.front();
      due_.pop_front();
      const auto found = flows_.find(next.ends);
      if (found == flows_.end() || found->second.began != next.began) {
        continue;
      }
      const auto ends_at = found->second.last_packet + lifetime;
      if (ends_at > now) {
        due_.push_back({now + lifetime, next.ends, next.began});
        continue;
      }
      forget(found->second);
      flows_.erase(found);
    }
  }

  template <typename Matches>
  void erase_if(Matches&& matches) {
    boost::unordered::erase_if(
        flows_, [&](const auto& entry) { return matches(entry.second); });
  }

  std::size_t size() const { return flows_.size(); }

 private:
  static constexpr duration lifetime = silent_flow_lifetime;

  struct deadline {
    time_point at;
    flow_ends ends;
    time_point began;
  };

  boost::unordered_flat_map<flow_ends, open_flow, std::hash<flow_ends>> flows_;
  /// By time.
  std::deque<deadline> due_;
};

}  // namespace rosemarydrum
