#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/fleet_update.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/flow_records.h"
#include "rosemarydrum/forwarding/forwarder_observer.h"
#include "rosemarydrum/forwarding/open_flows.h"
#include "rosemarydrum/forwarding/packet_verdict.h"
#include "rosemarydrum/forwarding/placement.h"
#include "rosemarydrum/forwarding/response_size_baseline.h"
#include "rosemarydrum/forwarding/round_trip_estimate.h"
#include "rosemarydrum/forwarding/route_table.h"
#include "rosemarydrum/forwarding/service_ability.h"
#include "rosemarydrum/forwarding/stall_detector.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/overload/overload_control.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct forwarder_settings {
  std::string name;
  std::string data_centre;
  duration flow_lifetime = default_flow_lifetime;
  /// Packets of established flows are still forwarded for this long to a data
  /// centre that operators have taken out of service.
  milliseconds out_grace{5000};
  /// No flow is refused if the fleet's state is older.
  milliseconds max_state_age{1500};
  double cold_factor = 1.5;
  double cold_extra = 5;
  std::uint64_t seed = 1;
};

/// If the caller sends nothing further for this long after an opening packet,
/// the packet is sent to another upstream. The time follows the round trips of
/// handshakes between these limits. Callers retransmit later.
inline constexpr milliseconds min_handshake_timeout{60};
inline constexpr milliseconds max_handshake_timeout{180};
/// Limits on packets that are held until the first configuration arrives.
inline constexpr milliseconds max_hold_time{500};
inline constexpr std::size_t max_held_packets = 1024;
/// Limit on how often the forwarder repeats one transmission of an opening
/// packet.
inline constexpr int max_opening_repeats = 2;

/// Limits on how often an upstream that was tried for a flow is told the tag of
/// the flow's upstream.
inline constexpr milliseconds retag_interval{200};
inline constexpr int max_retags = 4;
/// Number of upstreams that are told when the flow opens.
inline constexpr std::size_t max_retagged_upstreams = 2;

/// A request without any response data for this long has failed.
inline constexpr milliseconds first_response_timeout{1000};
/// Callers retransmit data after this time at the earliest.
inline constexpr milliseconds min_retransmission_time{200};
/// A flow whose latest packet came here longer ago may pass through another
/// forwarder by now.
inline constexpr milliseconds max_carried_time{2000};
/// Other members are told of lost data after this time, if the upstream has not
/// answered by then.
inline constexpr milliseconds lost_data_report_delay{100};
/// Members tell the next answer of an upstream for this long after one of them
/// has told of lost data.
inline constexpr milliseconds sighting_watch_time{1000};
/// A flow without packets for this long after an answer is idle.
inline constexpr milliseconds max_answer_gap{50};
/// A member's message may have been under way for this long, so that what it
/// confirms is older than it says.
inline constexpr milliseconds confirmation_margin{1000};
/// Callers have given up an opening packet after this time.
inline constexpr milliseconds max_opening_time{2000};

/// Decides where to send the packets of callers. Does no I/O and reads no
/// clock.
class forwarder {
 public:
  /// `codec` and `observer` must outlive the forwarder.
  forwarder(forwarder_settings settings, const flow_codec& codec,
            forwarder_observer& observer);

  packet_verdict on_packet(const flow_packet& packet, time_point now);
  /// Returns packets that were held until the first configuration, and opening
  /// packets to repeat because they were not answered in time. Nothing is
  /// repeated while `has_backlog`: the received packets that have not been
  /// processed may include the callers' replies.
  std::vector<delayed_packet> due_packets(bool has_backlog, time_point now);
  /// Returns the flows whose upstreams have stopped answering, so that their
  /// callers open others at once.
  std::vector<flow_reset> take_resets();

  /// Applies changes of the fleet; changes older than the known ones are
  /// ignored.
  void on_update(const fleet_update& update, time_point now);
  /// The process did not run for `stalled`: answers may have been lost, and
  /// queued packets are old.
  void on_stall(duration stalled, time_point now);
  /// Expires flows and upstreams, and checks response timeouts.
  void tick(time_point now);
  /// Returns the failures of flows placed here since the last call, to be sent
  /// to the other members.
  std::vector<upstream_failures> take_failures();
  bool has_failures() const { return !failures_.empty(); }
  /// Returns what callers have seen of upstreams since the last call, to be
  /// sent to the other members of the data centre at once.
  std::vector<upstream_sighting> take_sightings(time_point now);
  bool has_sightings() const { return !sightings_.empty(); }
  /// Returns what to tell the other members of flows since the last call.
  std::vector<flow_record> take_flow_records();
  bool has_flow_records() const { return !new_records_.empty(); }

  const upstream_directory& directory() const { return directory_; }
  const route_table& routes() const { return routes_; }
  std::size_t flow_count() const { return flows_.size(); }
  /// Number of upstreams in slow start.
  std::size_t slow_starts() const { return placement_.slow_starts(); }
  const service_ability& ability() const { return ability_; }

 private:
  /// The time by which an answer to the packet sent at `sent_at` is due.
  struct flow_deadline {
    time_point due;
    flow_ends ends;
    time_point sent_at;
  };

  struct held_packet {
    time_point received_at;
    bytes datagram;
  };

  packet_verdict hold(const flow_packet& packet, time_point now);
  void release_held(time_point now);
  void repeat_openings(time_point now);
  duration handshake_timeout() const;
  void add_round_trip(const open_flow& flow, time_point now);
  packet_verdict on_opening(const flow_packet& packet, time_point now);
  bool is_admitted(const flow_packet& packet, time_point now);
  packet_verdict on_established(const flow_packet& packet, time_point now);
  bool knows_routes_at(time_point when) const;
  bool was_route_dropped(const open_flow& flow) const;
  void await_route(open_flow& flow);
  void end_flows_without_route(time_point now);
  void on_end(open_flow& flow, time_point now);
  void on_progress(open_flow& flow, const flow_packet& packet, time_point now);
  void on_request(open_flow& flow, const flow_packet& packet, time_point now);
  void on_upstream_alive(const open_flow& flow, time_point now);
  void on_answer(open_flow& flow, time_point now);
  std::optional<packet_verdict> place(open_flow& flow,
                                      std::optional<upstream_index> previous,
                                      bool may_repeat, time_point now);
  std::optional<packet_verdict> place_again(open_flow& flow, repeat_cause cause,
                                            time_point now);
  packet_verdict to_upstream(upstream_index upstream,
                             verdict_reason reason) const;
  bool is_recovering_from_stall(time_point now) const;
  bool is_past_out_grace(upstream_index upstream, time_point now) const;
  void mark_open(open_flow& flow, upstream_index upstream, time_point now);
  void on_first_tag(open_flow& flow, upstream_tag tag, time_point now);
  void retag_other_upstreams(open_flow& flow, time_point now);
  void retag(open_flow& flow, upstream_key other, time_point now);
  void on_other_tag(open_flow& flow, upstream_tag tag, time_point now);
  std::optional<upstream_index> upstream_of(const flow_packet& packet,
                                            const open_flow* flow,
                                            time_point now) const;
  std::optional<upstream_index> opened_elsewhere(const flow_ends& flow,
                                                 time_point now);
  void on_flow_record(const flow_record& record, time_point now);
  void on_opened_elsewhere(open_flow& flow, upstream_index upstream,
                           time_point now);
  bool was_tried(const open_flow& flow, upstream_index upstream) const;
  void tell_others(const open_flow& flow, flow_record_kind kind,
                   time_point now);
  void set_load(open_flow& flow, flow_load load);
  void check_idle_later(open_flow& flow, time_point now);
  void check_idle_flows(time_point now);
  void suspect_restart(upstream_index upstream, incarnation reporter,
                       time_point sent, time_point now);
  void record_unanswered(const open_flow& flow, time_point now);
  void check_response(open_flow& flow, std::uint32_t response_bytes,
                      duration took, time_point now);
  void check_response_timeouts(time_point now);
  void record_failure(open_flow& flow, time_point now);
  upstream_failures& failures_of(upstream_index upstream);
  void check_stalls(time_point now);
  void on_retransmission(open_flow& flow, const answer_progress& previous,
                         time_point now);
  void report_lost_data(time_point now);
  void on_sighting(const reported_sighting& reported, time_point now);
  void watch_for_answer(upstream_index upstream, time_point sent,
                        time_point now);
  void watch_for_earlier_flow(upstream_index upstream, time_point unanswered,
                              time_point now);
  void tell_answer(upstream_index upstream, time_point opened,
                   time_point answered);
  bool needs_stall_reporter(upstream_index upstream) const;
  void on_unresponsive(upstream_index upstream, time_point now);
  bool may_reset(const open_flow& flow) const;
  void reset_flow(const open_flow& flow, time_point now);
  void reset_flows_of(upstream_index upstream, time_point now);
  void on_failures(upstream_index upstream, std::uint32_t count,
                   time_point now);
  packet_verdict refuse_opening(const flow_packet& packet, time_point now);
  packet_verdict refuse(const flow_packet& packet, verdict_reason reason,
                        time_point now);
  packet_verdict discard(const flow_packet& packet, verdict_reason reason,
                         time_point now);
  void report_slow_starts(time_point now);
  const fleet_service& service_of(upstream_index upstream) const;
  void on_change(const fleet_change& change, time_point now);
  void on_data_centre(const data_centre_change& change, revision changed,
                      time_point now);
  void expect_cold_upstreams(time_point now);

  forwarder_settings settings_;
  const flow_codec& codec_;
  forwarder_observer& observer_;
  upstream_directory directory_;
  placement placement_;
  service_ability ability_;
  overload_control overload_;
  route_table routes_;
  revision routes_revision_{};
  /// `routes_` were the latest ones at this time.
  time_point routes_confirmed_;
  /// Open flows without a known route, in the order of their first packets.
  std::deque<flow_deadline> flows_without_route_;
  struct data_centre_state {
    revision changed{};
    bool out = false;
    time_point since;
    /// When operators put it back; unset if not known.
    std::optional<time_point> back_at;
  };
  std::map<std::string, data_centre_state> data_centres_;
  time_point confirmed_;
  std::size_t data_centre_peers_ = 0;
  time_point stall_ended_at_;
  time_point stale_packets_until_;
  time_point stale_state_until_;
  /// Opening packets that were sent earlier do not count against upstreams.
  time_point handshake_health_since_;
  bool is_unable_ = false;
  round_trip_estimate round_trip_;
  open_flows flows_;
  std::deque<flow_deadline> handshake_deadlines_;
  std::deque<flow_deadline> response_deadlines_;
  std::deque<flow_deadline> idle_deadlines_;
  stall_detector stalls_;
  /// Flows whose data was sent again since the last check.
  std::vector<flow_ends> repeated_;
  /// Data that was sent to an upstream at `sent` and not acknowledged.
  struct lost_data {
    time_point due;
    upstream_index upstream{};
    time_point sent;
  };
  /// Not yet reported to the other members; ordered by `due`.
  std::deque<lost_data> unreported_losses_;
  struct timed_sighting {
    upstream_index upstream{};
    sighting_kind kind{};
    time_point at;
    duration open_time{0};
  };
  std::vector<timed_sighting> sightings_;
  /// Until the watch ends, the other members are told of the next answer of an
  /// upstream later than `after`, and of the next one on a flow that was open
  /// before `opened_before`. Each is unset once told, or if not wanted.
  struct answer_watch {
    std::optional<time_point> after;
    std::optional<time_point> opened_before;
    time_point until;
  };
  std::map<upstream_index, answer_watch> watched_;
  std::vector<flow_reset> resets_;
  /// Keyed by route name.
  std::map<std::string, response_size_baseline> response_baselines_;
  std::vector<upstream_failures> failures_;
  flow_records records_;
  std::vector<flow_record> new_records_;
  std::vector<held_packet> held_;
  std::vector<delayed_packet> due_;
};

}  // namespace rosemarydrum
