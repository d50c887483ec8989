#include "balancer/balancer_state.h"
#include "rosemarydrum/rendezvous.h"

/// Carries out what the parts want done.
namespace rosemarydrum {
namespace {

/// Rounds in which one input may cause further local messages.
constexpr int max_rounds = 10'000;
constexpr std::size_t max_asked_flows = 100'000;
/// An ask that got no answer goes to the next balancer of a remote data
/// centre after this time.
constexpr milliseconds remote_rotation{100};

}  // namespace

void balancer::state::carry_out(actions& todo, time_point now,
                                balancer_output& out) {
  for (int round = 0; round < max_rounds; ++round) {
    for (std::size_t i = 0; i < todo.size(); ++i) {
      std::visit([&](const auto& a) { carry_out(a, now, out); }, todo[i]);
    }
    todo.clear();
    if (to_self_.empty()) {
      return;
    }
    const auto body = std::move(to_self_.front());
    to_self_.pop_front();
    on_peer_body(settings.self, body, now, todo);
  }
}

void balancer::state::carry_out(const send_to_peer& a, time_point now,
                                balancer_output& out) {
  learn_binding(a, now);
  if (a.to == settings.self.id) {
    if (a.to_run == incarnation{} || a.to_run == settings.self.run) {
      to_self_.push_back(a.body);
    }
    return;
  }
  if (const auto* address = address_of(a.to)) {
    out.to_peers.push_back({a.to, *address,
                            peer_message{settings.self, a.to_run,
                                         events.next_logical_time(), a.body}});
  }
}

void balancer::state::learn_binding(const send_to_peer& a, time_point now) {
  const auto* answer = std::get_if<slot_answer>(&a.body);
  if (answer == nullptr) {
    return;
  }
  const balancer_run asker{a.to, a.to == settings.self.id
                                     ? settings.self.run
                                     : members.run_of(a.to)};
  asks.on_answer(asker, *answer, now);
  const auto found = asked_flows_.find({asker, answer->ask});
  if (found == asked_flows_.end()) {
    return;
  }
  const auto flow = found->second;
  asked_flows_.erase(found);
  if (answer->error != error_kind::none) {
    return;
  }
  if (!flows.find(flow, now)) {
    flows.bind(flow, {answer->upstream, answer->upstream_run},
               a.to == settings.self.id, now);
  }
  if (granted_flows_.size() < max_asked_flows) {
    granted_flows_[answer->grant] = flow;
  }
}

void balancer::state::learn_binding(const balancer_run& from,
                                    const slot_release& release,
                                    time_point now) {
  const auto found = granted_flows_.find(release.grant);
  if (found == granted_flows_.end()) {
    return;
  }
  if (release.outcome == attempt_outcome::answered) {
    // The asker binds the flow too, unless it is this balancer.
    flows.bind(found->second, {release.upstream, release.upstream_run},
               from == settings.self, now);
  }
  granted_flows_.erase(found);
}

void balancer::state::carry_out(const send_to_upstream& a, time_point now,
                                balancer_output& out) {
  static_cast<void>(now);
  const auto* up = config.current().find_upstream(a.service, a.upstream);
  if (up == nullptr || config.current().is_out(up->data_centre)) {
    return;
  }
  out.to_upstreams.push_back({up->address, a.datagram});
}

void balancer::state::carry_out(const ask_slot& a, time_point now,
                                balancer_output& out) {
  auto ask = a.ask;
  ask.data_centre = settings.data_centre;
  if (a.spill_to) {
    // The decider of another data centre is not known here. Most often it is
    // the first by weight; a repeated ask goes to the next.
    const auto order = rendezvous_order(value_of(shard_of(a.ask.service)),
                                        members.configured(*a.spill_to));
    if (!order.empty()) {
      const auto turn = now.time_since_epoch() / remote_rotation;
      const auto to = order[static_cast<std::size_t>(turn) % order.size()];
      carry_out(send_to_peer{to, {}, ask}, now, out);
    }
    return;
  }
  const auto decider =
      leases.decider_of(shard_of(a.ask.service), now).value_or(settings.self);
  carry_out(send_to_peer{decider.id, decider.run, ask}, now, out);
}

void balancer::state::carry_out(const release_slot& a, time_point now,
                                balancer_output& out) {
  if (a.release.outcome == attempt_outcome::answered &&
      a.decider != settings.self) {
    slots.on_answer_seen(a.release);
  }
  // The successor of the decider has the grant in its books from the reports.
  auto to = a.decider;
  if (members.is_in_cell(to.id)) {
    to = leases.decider_of(shard_of(a.release.service), now).value_or(to);
  }
  carry_out(send_to_peer{to.id, to.run, a.release}, now, out);
}

void balancer::state::carry_out(const send_to_caller& a, time_point now,
                                balancer_output& out) {
  static_cast<void>(now);
  out.to_callers.push_back({a.envelope, a.datagram});
}

void balancer::state::carry_out(const bind_flow& a, time_point now,
                                balancer_output& out) {
  event_record bound;
  bound.id = event_id::flow_bound;
  bound.service = a.flow.service;
  bound.flow = a.flow.flow;
  bound.upstream = a.upstream.id;
  carry_out(record_event{bound}, now, out);
  const bool decides = leases.decider_of(shard_of(a.flow.service), now) ==
                       std::optional(settings.self);
  flows.bind(a.flow, a.upstream, decides, now);
}

void balancer::state::carry_out(const record_event& a, time_point now,
                                balancer_output& out) {
  if (const auto stamped = events.add(a.event, now)) {
    out.events.push_back(*stamped);
  }
}

void balancer::state::remember_ask(const balancer_run& from,
                                   const slot_ask& ask) {
  if (asked_flows_.size() < max_asked_flows) {
    asked_flows_[{from, ask.ask}] = {ask.caller, ask.service, ask.flow};
  }
}

}  // namespace rosemarydrum
