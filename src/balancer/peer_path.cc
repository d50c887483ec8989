#include <algorithm>

#include "balancer/balancer_state.h"

/// What peers send, and what the parts of this balancer send each other.
namespace rosemarydrum {
namespace {

/// Events in one page of the time line.
constexpr std::size_t events_per_page = 1000;

record_event message_refused(balancer_id from) {
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
  const bool addressed =
      message.to_run == incarnation{} || message.to_run == settings.self.run;
  if (address == nullptr || *address != from ||
      message.from.id == settings.self.id || !addressed) {
    out.push_back(message_refused(message.from.id));
    return;
  }
  const auto known = members.run_of(message.from.id);
  const bool is_heartbeat = std::holds_alternative<heartbeat>(message.body);
  // Runs grow with each start, so a lower one is a process that is gone.
  if (message.from.run < known ||
      (!is_heartbeat && message.from.run != known && known != incarnation{})) {
    out.push_back(message_refused(message.from.id));
    return;
  }
  events.observe(message.logical_time);
  on_peer_body(message.from, message.body, now, out);
}

/// One overload for each message.
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
    // A grant of a decider that another one has followed is not in the
    // follower's books.
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
    if (self.members.replaced_recently(from.id, now)) {
      return;  // The requests of its last run are not in the report.
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
      out.push_back(message_refused(from.id));
      return;
    }
    self.forwarded_here_.reset();
    self.on_caller_datagram(m.envelope, m.datagram, true, now, out);
    if (self.forwarded_here_) {
      reply(forward_ack{*self.forwarded_here_});
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
  // A late heartbeat must not free votes that a newer one has renewed.
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
  auto votes = beat;
  // A member that is heard but does not hear us must lose its shards, or they
  // would be without a decider for as long as it is cut off. A run that has
  // just replaced another one does not know the grants of that one.
  const bool is_live = members.is_live(from.id, now);
  if (!is_live || members.replaced_recently(from.id, now)) {
    votes.wanted.clear();
  }
  if (!is_live) {
    votes.held.clear();
  }
  const auto changed = leases.on_heartbeat(
      from, votes, members.sent_at(from.id, beat.echo), now);
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
  // A decider that was paused must not grant on a lease that has lapsed.
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
  remember_ask(from, ask);
  auto bound_ask = ask;
  if (const auto bound = flows.find(flow, now);
      bound && ask.pinned == upstream_id{}) {
    // A flow that its first request could not open there opens elsewhere.
    const bool failed =
        ask.opens_flow && std::find(ask.avoid.begin(), ask.avoid.end(),
                                    bound->id) != ask.avoid.end();
    bound_ask.pinned = failed ? upstream_id{} : bound->id;
  }
  if (bound_ask.pinned != upstream_id{} || ask.opens_flow) {
    slots.on_ask(from, bound_ask, now, out);
    return;
  }
  // The flow may be older than this balancer's time as the decider.
  auto others = members.serving(settings.data_centre, now);
  std::erase(others, settings.self.id);
  if (others.empty()) {
    slots.on_ask(from, ask, now, out);
    return;
  }
  resolver.resolve(
      flow, others.front(), others,
      [this, from, bound_ask](upstream_run found, time_point at,
                              actions& then) mutable {
        bound_ask.pinned = found.id;
        slots.on_ask(from, bound_ask, at, then);
      },
      now, out);
}

}  // namespace rosemarydrum
