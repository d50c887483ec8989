#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "membership/lease_manager.h"
#include "requests/request_forwarder.h"
#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/configuration/config_sync.h"
#include "rosemarydrum/flows/flow_resolver.h"
#include "rosemarydrum/flows/flow_table.h"
#include "rosemarydrum/membership/membership.h"
#include "rosemarydrum/requests/admission.h"
#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/requests/request_witness.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/slots/slot_table.h"
#include "slots/ask_registry.h"

namespace rosemarydrum {

/// The components of a balancer and the dispatch of messages between them.
/// `caller_path.cc` handles caller packets from the fabric, `flow_path.cc`
/// packets of established flows and packets from upstreams, `peer_path.cc`
/// messages from peers, `periodic_path.cc` timers, and `action_path.cc` the
/// actions that the components return.
struct balancer::state {
  state(balancer_settings initial_settings, time_point start_time);

  // caller_path.cc
  /// `forwarded`: received from a peer in a request_forward.
  void on_caller_datagram(const fabric_envelope& envelope, bytes_view datagram,
                          bool forwarded, time_point now, actions& out);

  // flow_path.cc
  void on_upstream_datagram(const endpoint& from, bytes_view datagram,
                            time_point now, actions& out);

  // peer_path.cc
  void on_peer_body(const balancer_run& from, const peer_body& body,
                    time_point now, actions& out);
  void on_peer_message(const endpoint& from, const peer_message& message,
                       time_point now, actions& out);

  // action_path.cc
  /// Carries out `pending` and the actions that result from it.
  void carry_out(actions& pending, time_point now, balancer_output& out);

  // periodic_path.cc
  void tick(time_point now, actions& out);
  /// Acquires and drops leases as of `now`. Call before granting a slot, so
  /// that no grant relies on an expired lease.
  void update_leases(time_point now, actions& out);
  /// The serving members that may become deciders.
  std::vector<balancer_id> candidates(time_point now) const;

  // balancer_state.cc
  bool reads_store(time_point now) const;
  void on_configuration_change(time_point now, actions& out);
  bool is_serving_now(time_point now) const;
  /// A sealed token for the flow's next non-idempotent request.
  bytes fresh_token(const flow_key& flow, upstream_run upstream,
                    time_point now) const;
  /// A live balancer other than this one; this one if there is no other.
  balancer_run witness_for(const flow_key& flow, time_point now) const;
  std::vector<data_centre_id> spill_targets() const;
  /// nullptr if neither the configuration nor the bootstrap list has `id`.
  const endpoint* address_of(balancer_id id) const;

  time_point started;
  balancer_settings settings;
  token_codec tokens;
  event_log events;
  config_sync config;
  membership members;
  slot_table slots;
  lease_manager leases;
  ask_registry asks;
  request_owner owner;
  request_witness witness;
  request_forwarder forwarder;
  flow_table flows;
  flow_resolver resolver;
  admission admission_control;

  bool store_reachable = false;
  bool leaving = false;
  /// Whether the process_started, process_ready and shutdown_finished events
  /// have been recorded.
  bool start_recorded = false;
  bool ready_recorded = false;
  bool finish_recorded = false;
  time_point leaving_since;

 private:
  struct caller_packet {
    fabric_envelope envelope;
    packet datagram;
    const service* target;
    const approval* matched_approval;
    flow_key flow;
    /// Nullopt if the packet has no token or an invalid one.
    std::optional<token> opened_token;
    /// Received from a peer in a request_forward.
    bool forwarded;
    /// Admission's verdict. A token's owner answers the request with it, unless
    /// it knows the request already.
    error_kind admission_error = error_kind::none;
  };
  struct peer_visitor;
  void on_request(const caller_packet& p, time_point now, actions& out);
  void on_non_idempotent_request(const caller_packet& p, const owned_request& r,
                                 time_point now, actions& out);
  void on_flow_packet(const caller_packet& p, time_point now, actions& out);
  void pass_to_upstream(const caller_packet& p, upstream_run upstream,
                        actions& out);
  void refuse(const caller_packet& p, error_kind error, certainty known,
              time_point now, actions& out);
  /// Why this balancer refuses a new request; `none` if it accepts it.
  error_kind reason_to_refuse(const caller_packet& p, time_point now) const;
  /// Whether balancer `other.id` is live and its incarnation is `other.run`.
  bool is_run_live(const balancer_run& other, time_point now) const;
  /// What a refusal by a balancer that is not the request's owner may claim:
  /// only a non-idempotent request without a token is known not to have run.
  certainty known_outcome(const caller_packet& p) const;
  owned_request make_owned_request(const caller_packet& p, bool idempotent,
                                   time_point now);

  void on_heartbeat(const balancer_run& from, const heartbeat& beat,
                    time_point now, actions& out);
  void on_slot_ask(const balancer_run& from, const slot_ask& ask,
                   time_point now, actions& out);
  /// While leaving, makes the tokens in answers name another owner.
  void update_successor(time_point now);
  void send_heartbeats(time_point now, actions& out);
  /// Records an event for each data centre that has been taken out of service
  /// or put back.
  void record_data_centre_changes(actions& out);
  void send_flow_copies(time_point now, actions& out);
  void track_ask(const balancer_run& from, const slot_ask& ask);

  void carry_out(const send_to_peer& a, time_point now, balancer_output& out);
  void carry_out(const send_to_upstream& a, time_point now,
                 balancer_output& out);
  void carry_out(const ask_slot& a, time_point now, balancer_output& out);
  void carry_out(const release_slot& a, time_point now, balancer_output& out);
  void carry_out(const send_to_caller& a, time_point now, balancer_output& out);
  void carry_out(const bind_flow& a, time_point now, balancer_output& out);
  void carry_out(const record_event& a, time_point now, balancer_output& out);
  /// On a slot answer that grants: binds the flow to the granted upstream if it
  /// is unbound. On a release: binds the flow to the upstream that answered.
  void learn_binding(const send_to_peer& a, time_point now);
  void learn_binding(const balancer_run& from, const slot_release& release,
                     time_point now);

  /// Messages to this balancer itself; carry_out() handles them.
  std::deque<peer_body> to_self_;
  /// Flows of the slot asks that are not answered yet, by sender and ask
  /// number.
  std::map<std::pair<balancer_run, std::uint64_t>, flow_key> flows_by_ask_;
  std::unordered_map<grant_id, flow_key> flows_by_grant_;
  std::map<endpoint, std::pair<service_id, upstream_id>> upstream_addresses_;
  std::set<data_centre_id> data_centres_out_;
  /// The newest heartbeat of each peer.
  std::map<balancer_id, std::pair<incarnation, std::uint64_t>> last_heartbeats_;
  /// The forwarded request that the current input has delivered to this
  /// balancer as its owner; acknowledged with a forward_ack.
  std::optional<request_key> accepted_forward_;
};

}  // namespace rosemarydrum
