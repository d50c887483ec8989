#pragma once

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/answer_progress.h"
#include "rosemarydrum/forwarding/flow_load.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/placement_choice.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class flow_stage : std::uint8_t {
  /// The opening packet has been sent to an upstream.
  opening,
  /// The caller has completed the handshake.
  open,
  /// The caller has finished or reset the flow.
  ended,
};

/// A flow whose packets pass through this process.
struct open_flow {
  flow_ends ends;
  flow_stage stage = flow_stage::opening;
  upstream_index upstream{};
  /// When the first packet arrived.
  time_point began;
  time_point last_packet;
  flow_load load = flow_load::none;
  /// Whether it will be checked for being idle.
  bool idle_check_pending = false;
  /// Whether its route was in a configuration that this process knew.
  bool had_route = false;
  /// Whether it will end if its route is still not known after the next
  /// confirmation.
  bool awaits_route = false;
  answer_progress progress;
  /// Id of the current or latest request; empty if it has none.
  std::string request;

  /// The members from here on are used only for flows that were placed here.
  placement_choice choice;
  std::string route;
  milliseconds objective{0};
  std::uint8_t priority = 0;
  /// When the opening packet was sent to `upstream`.
  time_point sent_at;
  /// Opening packets sent to upstreams.
  std::uint8_t attempts = 0;
  /// Repeats by the forwarder since the caller's last transmission.
  std::uint8_t repeats = 0;
  /// Upstreams to which the opening packet was sent.
  std::vector<upstream_key> tried;
  /// Another forwarder may have sent it to an upstream as well.
  bool is_shared = false;
  /// The opening packet. Kept after the flow has opened only if another
  /// upstream may answer it late.
  bytes opening;
  /// When the other tried upstreams were last told the flow's tag, and how
  /// often.
  time_point retagged_at;
  std::uint8_t retags = 0;
  time_point opened_at;
  /// When the first data of the caller arrived.
  time_point first_data_at;
  /// A request counts as failed at most once.
  bool counted_as_failed = false;

  bool was_placed_here() const { return attempts > 0; }
};

/// A flow is dropped after this time without packets: it has ended or was not
/// opened, or its packets pass through another process. Open flows may be kept
/// for longer.
inline constexpr seconds idle_flow_lifetime{3};
inline constexpr std::size_t max_open_flows = 200'000;

/// The flows whose packets passed through this process lately. They count as
/// load of their upstreams, and a flow listed here keeps its upstream even if
/// its tag changes. A packet whose flow is not listed is forwarded by its tag.
class open_flows {
 public:
  open_flow* find(const flow_ends& ends);
  /// Returns nullptr if there are already `max_open_flows`.
  open_flow* insert(const flow_ends& ends, time_point now);
  void erase(const flow_ends& ends);
  /// Keeps open flows without packets for this long, but not less than
  /// `idle_flow_lifetime`.
  void set_idle_lifetime(duration lifetime_of_open_flows) {
    open_lifetime_ = std::max(lifetime, lifetime_of_open_flows);
  }

  /// Removes each flow without packets for its lifetime, after calling `forget`
  /// with it.
  template <typename Forget>
  void expire(time_point now, Forget&& forget) {
    while (!due_.empty() && due_.front().at <= now) {
      const auto next = due_.front();
      due_.pop_front();
      const auto found = flows_.find(next.ends);
      if (found == flows_.end() || found->second.began != next.began) {
        continue;
      }
      const auto& flow = found->second;
      const auto ends_at =
          flow.last_packet +
          (flow.stage == flow_stage::open ? open_lifetime_ : lifetime);
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
  static constexpr duration lifetime = idle_flow_lifetime;

  struct deadline {
    time_point at;
    flow_ends ends;
    time_point began;
  };

  duration open_lifetime_ = lifetime;
  boost::unordered_flat_map<flow_ends, open_flow, std::hash<flow_ends>> flows_;
  /// Ordered by time.
  std::deque<deadline> due_;
};

}  // namespace rosemarydrum
