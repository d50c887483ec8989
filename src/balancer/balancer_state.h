#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "membership/lease_duty.h"
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

/// The parts of a balancer and the routes between them. `caller_path.cc`
/// handles what the fabric brings, `peer_path.cc` what peers send,
/// `action_path.cc` what the parts want done.
struct balancer::state {
  state(balancer_settings given, time_point start_time);

  // caller_path.cc
  void on_caller_datagram(const fabric_envelope& envelope, bytes_view datagram,
                          bool forwarded, time_point now, actions& out);
  void on_upstream_datagram(const endpoint& from, bytes_view datagram,
                            time_point now, actions& out);

  // peer_path.cc
  void on_peer_body(const balancer_run& from, const peer_body& body,
                    time_point now, actions& out);
  void on_peer_message(const endpoint& from, const peer_message& message,
                       time_point now, actions& out);

  // action_path.cc
  /// Carries out `todo` and all that follows from it.
  void carry_out(actions& todo, time_point now, balancer_output& out);

  void tick(time_point now, actions& out);
  /// Brings leases up to `now`; needed before each grant.
  void update_leases(time_point now, actions& out);
  /// The serving members that may become deciders.
  std::vector<balancer_id> candidates(time_point now) const;
  bool reads_store(time_point now) const;
  void on_configuration_change(time_point now, actions& out);
  bool is_serving_now(time_point now) const;
  /// Sealed token for a flow's next non-idempotent request.
  bytes fresh_token(const flow_key& flow, upstream_run upstream,
                    time_point now) const;
  balancer_run witness_for(const flow_key& flow, time_point now) const;
  std::vector<data_centre_id> spill_targets() const;
  const endpoint* address_of(balancer_id id) const;

  time_point started;
  balancer_settings settings;
  token_codec tokens;
  event_log events;
  config_sync config;
  membership members;
  slot_table slots;
  lease_duty leases;
  ask_registry asks;
  request_owner owner;
  request_witness witness;
  request_forwarder forwarder;
  flow_table flows;
  flow_resolver resolver;
  admission gate;

  bool store_reachable = false;
  bool leaving = false;
  bool was_started = false;
  bool was_ready = false;
  bool was_finished = false;
  time_point leaving_since;

 private:
  struct caller_packet {
    fabric_envelope envelope;
    packet datagram;
    const service* target;
    const approval* consent;
    flow_key flow;
    std::optional<token> sealed;
    bool forwarded;
    /// What admission found; the owner of a request answers with it.
    error_kind admission = error_kind::none;
  };
  struct peer_visitor;
  void on_request(const caller_packet& p, time_point now, actions& out);
  void on_authorised_request(const caller_packet& p, const owned_request& r,
                             time_point now, actions& out);
  void on_flow_packet(const caller_packet& p, time_point now, actions& out);
  void pass_to_upstream(const caller_packet& p, upstream_run upstream,
                        actions& out);
  void refuse(const caller_packet& p, error_kind error, certainty known,
              time_point now, actions& out);
  /// Why a new request is not taken here; none if it is.
  error_kind reason_to_refuse(const caller_packet& p, time_point now) const;
  /// Whether this run of a balancer can be reached.
  bool is_alive(const balancer_run& other, time_point now) const;
  certainty known_outcome(const caller_packet& p) const;
  owned_request make_owned(const caller_packet& p, bool idempotent,
                           time_point now);

  void on_heartbeat(const balancer_run& from, const heartbeat& beat,
                    time_point now, actions& out);
  void on_slot_ask(const balancer_run& from, const slot_ask& ask,
                   time_point now, actions& out);
  /// While leaving: answers name others as the owners of their flows.
  void name_successor(time_point now);
  void send_heartbeats(time_point now, actions& out);
  /// Records the data centres that have gone out or come in.
  void note_data_centres(actions& out);
  void copy_flows(time_point now, actions& out);
  void remember_ask(const balancer_run& from, const slot_ask& ask);

  void carry_out(const send_to_peer& a, time_point now, balancer_output& out);
  void carry_out(const send_to_upstream& a, time_point now,
                 balancer_output& out);
  void carry_out(const ask_slot& a, time_point now, balancer_output& out);
  void carry_out(const release_slot& a, time_point now, balancer_output& out);
  void carry_out(const send_to_caller& a, time_point now, balancer_output& out);
  void carry_out(const bind_flow& a, time_point now, balancer_output& out);
  void carry_out(const record_event& a, time_point now, balancer_output& out);
  /// A grant binds a flow that is not bound yet; the answer decides.
  void learn_binding(const send_to_peer& a, time_point now);
  void learn_binding(const balancer_run& from, const slot_release& release,
                     time_point now);

  /// Messages to this balancer itself, handled before the input ends.
  std::deque<peer_body> to_self_;
  /// Flows of the asks that wait in the slot table, by asker and number.
  std::map<std::pair<balancer_run, std::uint64_t>, flow_key> asked_flows_;
  std::unordered_map<grant_id, flow_key> granted_flows_;
  std::map<endpoint, std::pair<service_id, upstream_id>> upstream_addresses_;
  std::set<data_centre_id> data_centres_out_;
  /// The newest heartbeat of each peer.
  std::map<balancer_id, std::pair<incarnation, std::uint64_t>> last_heartbeats_;
  /// The forwarded request that the present input has brought its owner.
  std::optional<request_key> forwarded_here_;
};

}  // namespace rosemarydrum
