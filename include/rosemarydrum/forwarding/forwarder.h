#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/answer_baseline.h"
#include "rosemarydrum/forwarding/fleet_update.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/forwarder_observer.h"
#include "rosemarydrum/forwarding/open_flows.h"
#include "rosemarydrum/forwarding/packet_verdict.h"
#include "rosemarydrum/forwarding/placement.h"
#include "rosemarydrum/forwarding/route_table.h"
#include "rosemarydrum/forwarding/service_ability.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct forwarder_settings {
  std::string name;
  std::string data_centre;
  duration flow_lifetime = default_flow_lifetime;
  /// Packets to a data centre that is out stop after this time.
  milliseconds out_grace{5000};
  double cold_factor = 1.5;
  double cold_extra = 5;
  std::uint64_t seed = 1;
};

/// An opening packet that its caller has not followed up after this time is
/// sent to another upstream; the caller repeats it much later.
inline constexpr milliseconds handshake_timeout{60};
/// Packets that come before the first configuration wait so long, for as many.
inline constexpr milliseconds longest_hold{500};
inline constexpr std::size_t most_held = 1024;
/// Times that a flow's opening packet is repeated here.
inline constexpr int most_repeats = 2;

/// A request without any answer for this long has failed.
inline constexpr milliseconds answer_timeout{1000};

/// Decides where the packets of callers go. Has no I/O and reads no clock.
class forwarder {
 public:
  /// `codec` reads request ids; `observer` outlives the forwarder.
  forwarder(forwarder_settings settings, const flow_codec& codec,
            forwarder_observer& observer);

  packet_verdict on_packet(const flow_packet& packet, time_point now);
  /// Packets that waited for the first configuration, and opening packets that
  /// have not been answered in time. `has_backlog`: packets of callers wait to
  /// be taken in, their answers among them, so that nothing is repeated yet.
  std::vector<delayed_packet> due_packets(bool has_backlog, time_point now);

  /// What is known of the fleet has changed; older changes are ignored.
  void on_update(const fleet_update& news, time_point now);
  /// The process has not run for a while; answers may have been lost, and
  /// packets have waited.
  void on_stall(duration stalled, time_point now);
  /// Forgets flows and upstreams whose time has passed.
  void tick(time_point now);
  /// Flows that were placed here and have failed since the last call, for the
  /// other members.
  std::vector<upstream_failures> take_failures();
  bool has_failures() const { return !failures_.empty(); }

  const upstream_directory& directory() const { return directory_; }
  const route_table& routes() const { return routes_; }
  std::size_t flow_count() const { return flows_.size(); }
  const service_ability& ability() const { return ability_; }

 private:
  /// A flow that waits for an answer to what was sent at `sent_at`.
  struct waiting_flow {
    time_point due;
    flow_ends ends;
    time_point sent_at;
  };

  struct held_packet {
    time_point came_at;
    bytes datagram;
  };

  packet_verdict hold(const flow_packet& packet, time_point now);
  void release_held(time_point now);
  void repeat_openings(time_point now);
  packet_verdict on_opening(const flow_packet& packet, time_point now);
  packet_verdict on_established(const flow_packet& packet, time_point now);
  std::optional<packet_verdict> place(open_flow& flow,
                                      std::optional<upstream_index> before,
                                      bool may_repeat, time_point now);
  std::optional<packet_verdict> place_again(open_flow& flow, repeat_cause cause,
                                            time_point now);
  packet_verdict to_upstream(upstream_index upstream, fate_reason reason) const;
  bool is_too_old(time_point now) const;
  bool is_given_up(upstream_index upstream, time_point now) const;
  void open(open_flow& flow, upstream_index upstream, time_point now);
  void end(open_flow& flow);
  void note_unanswered(const open_flow& flow, time_point now);
  void note_data(open_flow& flow, const flow_packet& packet, time_point now);
  void end_answered(open_flow& flow, time_point now);
  void check_answers(time_point now);
  void note_failure(open_flow& flow, time_point now);
  void on_failures(upstream_index upstream, std::uint32_t count,
                   time_point now);
  packet_verdict refuse_opening(const flow_packet& packet, time_point now);
  packet_verdict refuse(const flow_packet& packet, fate_reason reason,
                        time_point now);
  packet_verdict discard(const flow_packet& packet, fate_reason reason,
                         time_point now);
  const fleet_service& service_of(upstream_index upstream) const;
  void on_change(const fleet_change& change, time_point now);
  void on_data_centre(const data_centre_change& change, revision changed,
                      time_point now);

  forwarder_settings settings_;
  const flow_codec& codec_;
  forwarder_observer& observer_;
  upstream_directory directory_;
  placement placement_;
  service_ability ability_;
  route_table routes_;
  revision routes_changed_{};
  struct data_centre_state {
    revision changed{};
    bool out = false;
    time_point since;
  };
  std::map<std::string, data_centre_state> data_centres_;
  time_point confirmed_;
  time_point stall_ends_;
  time_point old_packets_until_;
  time_point old_knowledge_until_;
  /// Openings that were sent before say nothing of upstreams.
  time_point evidence_from_;
  bool is_unable_ = false;
  open_flows flows_;
  std::deque<waiting_flow> openings_;
  std::deque<waiting_flow> answers_;
  /// By the route's name.
  std::map<std::string, answer_baseline> baselines_;
  std::vector<upstream_failures> failures_;
  std::vector<held_packet> held_;
  std::vector<delayed_packet> due_;
};

}  // namespace rosemarydrum
