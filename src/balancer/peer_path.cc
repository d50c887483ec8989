#include <algorithm>

#include "balancer/balancer_state.h"

/// Messages from peers, and from this balancer to itself.
namespace rosemarydrum {
namespace {

/// Events in one events_page.
constexpr std::size_t events_per_page = 1000;

record_event refused_message_event(balancer_id from) {
  event_record event;
  event.id = event_id::peer_message_refused;
  event.detail = value_of(from);
  return {event};
}

}  // namespace

void balancer::state::on_peer_message(const endpoint& from,
                                      const peer_message& message,
                                      time_point now, actions& out) {
  const auto* address = address_of(message.from.id);
  const bool is_for_this_run =
      message.to_run == incarnation{} || message.to_run == settings.self.run;
  if (address == nullptr || *address != from ||
      message.from.id == settings.self.id || !is_for_this_run) {
    out.push_back(refused_message_event(message.from.id));
    return;
  }
  const auto known_run = members.run_of(message.from.id);
  const bool is_heartbeat = std::holds_alternative<heartbeat>(message.body);
  // Incarnations grow with each start, so a lower one belongs to a process that
  // has ended.
  if (message.from.run < known_run ||
      (!is_heartbeat && message.from.run != known_run &&
       known_run != incarnation{})) {
    out.push_back(refused_message_event(message.from.id));
    return;
  }
  events.observe(message.logical_time);
  on_peer_body(message.from, message.body, now, out);
}

/// Dispatches a message body; one overload for each type.
struct balancer::state::peer_visitor {
  state& self;
  const balancer_run& from;
  time_point now;
  actions& out;

  void reply(peer_body answer) const {
    out.push_back(send_to_peer{from.id, from.run, std::move(answer)});
  }

  void operator()(const heartbeat& m) { self.on_heartbeat(from, m, now, out); }
  void operator()(const slot_ask& m) { self.on_slot_ask(from, m, now, out); }
  void operator()(const slot_answer& m) {
    // Drops a grant of the shard's previous decider, because the new decider
    // does not know it.
    const auto decider = self.leases.decider_of(shard_of(m.service), now);
    if (m.error == error_kind::none && decider && *decider != from &&
        self.members.is_in_cell(from.id)) {
      return;
    }
    self.owner.on_slot_answer(from, m, now, out);
  }
  void operator()(const slot_release& m) {
    self.update_leases(now, out);
    self.learn_binding(from, m, now);
    self.asks.on_release(m);
    self.slots.on_release(from, m, now, out);
  }
  void operator()(const grants_report& m) {
    if (self.members.restarted_recently(from.id, now)) {
      // The report lacks the grants used by the requests of the previous run.
      return;
    }
    self.slots.on_report(from, m, now, out);
  }
  void operator()(const lease_handover& m) {
    self.leases.on_handover(m.shard, now);
    self.slots.on_handover(m, now, out);
  }
  void operator()(const record_ask& m) {
    reply(self.witness.on_record(m, now));
  }
  void operator()(const record_answer& m) {
    self.owner.on_record_answer(from, m, now, out);
  }
  void operator()(const close_ask& m) { reply(self.witness.on_close(m, now)); }
  void operator()(const close_answer& m) {
    self.forwarder.on_close_answer(from, m, out);
  }
  void operator()(const request_forward& m) {
    if (m.hops != 1) {
      out.push_back(refused_message_event(from.id));
      return;
    }
    self.accepted_forward_.reset();
    self.on_caller_datagram(m.envelope, m.datagram, true, now, out);
    if (self.accepted_forward_) {
      reply(forward_ack{*self.accepted_forward_});
    }
  }
  void operator()(const forward_ack& m) {
    self.forwarder.on_forward_ack(from.id, m);
  }
  void operator()(const flow_ask& m) {
    reply(flow_answer{m.flow,
                      self.flows.find(m.flow, now).value_or(upstream_run{})});
  }
  void operator()(const flow_answer& m) {
    self.resolver.on_answer(from.id, m, now, out);
  }
  void operator()(const flow_copy& m) {
    self.flows.on_copy(m, self.config.current(), now);
  }
  void operator()(const config_push& m) {
    if (self.config.on_documents(m.documents, false, {}, now, out)) {
      self.on_configuration_change(now, out);
    }
  }
  void operator()(const config_pull& m) {
    self.config.on_pull(from.id, m, out);
  }
  void operator()(const events_pull& m) {
    reply(events_page{self.events.page(m.first, events_per_page)});
  }
  void operator()(const events_page&) {}
};

void balancer::state::on_peer_body(const balancer_run& from,
                                   const peer_body& body, time_point now,
                                   actions& out) {
  std::visit(peer_visitor{*this, from, now, out}, body);
}

void balancer::state::on_heartbeat(const balancer_run& from,
                                   const heartbeat& beat, time_point now,
                                   actions& out) {
  // A delayed heartbeat must not release votes that a newer one has renewed.
  auto& [run, sequence] = last_heartbeats_[from.id];
  if (from.run == run && beat.sequence <= sequence) {
    return;
  }
  run = from.run;
  sequence = beat.sequence;

  members.on_heartbeat(from, beat, now, out);
  config.on_peer_revision(from.id, beat.configuration, now, out);
  if (!members.is_in_cell(from.id)) {
    return;
  }
  auto accepted = beat;
  // A member whose heartbeats arrive but do not echo ours gets no votes and is
  // not taken for a decider; otherwise its shards would have no reachable
  // decider for as long as the one-way cut lasts. A run that has just replaced
  // another gets no votes because it does not know the grants of that run.
  const bool is_live = members.is_live(from.id, now);
  if (!is_live || members.restarted_recently(from.id, now)) {
    accepted.wanted.clear();
  }
  if (!is_live) {
    accepted.held.clear();
  }
  const auto changed = leases.on_heartbeat(
      from, accepted, members.sent_at(from.id, beat.echo), now);
  for (const auto shard : changed) {
    out.push_back(send_to_peer{
        from.id, from.run, grants_report{shard, owner.running(shard, now)}});
  }
  const bool is_current = beat.configuration >= config.current().highest;
  slots.on_limits(beat.limits, is_current ? std::span(beat.held)
                                          : std::span<const shard_id>());
}

void balancer::state::on_slot_ask(const balancer_run& from, const slot_ask& ask,
                                  time_point now, actions& out) {
  // A decider that was paused must not grant on an expired lease.
  update_leases(now, out);
  const auto authority = slots.authority(shard_of(ask.service));
  if (authority == slot_authority::none ||
      (authority == slot_authority::share && from != settings.self)) {
    return;
  }
  const auto owner_run = asks.owner_of(ask);
  const bool owner_live = members.is_live(owner_run.id, now) &&
                          members.run_of(owner_run.id) == owner_run.run;
  if (ask.idempotent && !asks.admit(from, ask, owner_live, now)) {
    slot_answer answer;
    answer.ask = ask.ask;
    answer.error = error_kind::in_progress;
    out.push_back(send_to_peer{from.id, from.run, answer});
    return;
  }
  const flow_key flow{ask.caller, ask.service, ask.flow};
  track_ask(from, ask);
  auto pinned_ask = ask;
  if (const auto bound = flows.find(flow, now);
      bound && ask.pinned == upstream_id{}) {
    // If the request that opens the flow has failed at the bound upstream, the
    // flow may open at another one.
    const bool failed =
        ask.opens_flow && std::find(ask.avoid.begin(), ask.avoid.end(),
                                    bound->id) != ask.avoid.end();
    pinned_ask.pinned = failed ? upstream_id{} : bound->id;
  }
  if (pinned_ask.pinned != upstream_id{} || ask.opens_flow) {
    slots.on_ask(from, pinned_ask, now, out);
    return;
  }
  // The flow may have been bound before this balancer became the decider, so
  // ask the others for its upstream.
  auto others = members.serving(settings.data_centre, now);
  std::erase(others, settings.self.id);
  if (others.empty()) {
    slots.on_ask(from, ask, now, out);
    return;
  }
  resolver.resolve(
      flow, others.front(), others,
      [this, from, pinned_ask](upstream_run found, time_point resumed_at,
                               actions& resumed_out) mutable {
        pinned_ask.pinned = found.id;
        slots.on_ask(from, pinned_ask, resumed_at, resumed_out);
      },
      now, out);
}

}  // namespace rosemarydrum
