#include "balancer/balancer_state.h"
#include "rosemarydrum/rendezvous.h"

/// Carries out the actions that a balancer's components return.
namespace rosemarydrum {
namespace {

/// Bounds the chain of messages to this balancer itself that one input causes.
constexpr int max_local_messages = 10'000;
/// Bounds `flows_by_ask_` and `flows_by_grant_`.
constexpr std::size_t max_tracked_flows = 100'000;
/// After this time, slot asks to another data centre go to the next of its
/// balancers, so that an unanswered ask is repeated elsewhere.
constexpr milliseconds remote_rotation_interval{100};

}  // namespace

void balancer::state::carry_out(actions& pending, time_point now,
                                balancer_output& out) {
  for (int round = 0; round < max_local_messages; ++round) {
    for (std::size_t i = 0; i < pending.size(); ++i) {
      std::visit([&](const auto& a) { carry_out(a, now, out); }, pending[i]);
    }
    pending.clear();
    if (to_self_.empty()) {
      return;
    }
    const auto body = std::move(to_self_.front());
    to_self_.pop_front();
    on_peer_body(settings.self, body, now, pending);
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
  const balancer_run requester{a.to, a.to == settings.self.id
                                         ? settings.self.run
                                         : members.run_of(a.to)};
  asks.on_answer(requester, *answer, now);
  const auto found = flows_by_ask_.find({requester, answer->ask});
  if (found == flows_by_ask_.end()) {
    return;
  }
  const auto flow = found->second;
  flows_by_ask_.erase(found);
  if (answer->error != error_kind::none) {
    return;
  }
  if (!flows.find(flow, now)) {
    flows.bind(flow, {answer->upstream, answer->upstream_run},
               a.to == settings.self.id, now);
  }
  if (flows_by_grant_.size() < max_tracked_flows) {
    flows_by_grant_[answer->grant] = flow;
  }
}

void balancer::state::learn_binding(const balancer_run& from,
                                    const slot_release& release,
                                    time_point now) {
  const auto found = flows_by_grant_.find(release.grant);
  if (found == flows_by_grant_.end()) {
    return;
  }
  if (release.outcome == attempt_outcome::answered) {
    // The balancer that asked for the slot binds the flow too, unless it is
    // this one.
    flows.bind(found->second, {release.upstream, release.upstream_run},
               from == settings.self, now);
  }
  flows_by_grant_.erase(found);
}

void balancer::state::carry_out(const send_to_upstream& a, time_point now,
                                balancer_output& out) {
  static_cast<void>(now);
  const auto* destination =
      config.current().find_upstream(a.service, a.upstream);
  if (destination == nullptr ||
      config.current().is_out(destination->data_centre)) {
    return;
  }
  out.to_upstreams.push_back({destination->address, a.datagram});
}

void balancer::state::carry_out(const ask_slot& a, time_point now,
                                balancer_output& out) {
  auto ask = a.ask;
  ask.data_centre = settings.data_centre;
  if (a.spill_to) {
    // The decider of another data centre is not known here. It is usually the
    // balancer of highest rendezvous weight; repeated asks try the others.
    const auto order = rendezvous_order(value_of(shard_of(a.ask.service)),
                                        members.configured(*a.spill_to));
    if (!order.empty()) {
      const auto interval_index =
          now.time_since_epoch() / remote_rotation_interval;
      const auto to =
          order[static_cast<std::size_t>(interval_index) % order.size()];
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
    slots.observe_latency(a.release);
  }
  // If the shard has a new decider, it knows the grant from grants reports.
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
  const bool is_decider = leases.decider_of(shard_of(a.flow.service), now) ==
                          std::optional(settings.self);
  flows.bind(a.flow, a.upstream, is_decider, now);
}

void balancer::state::carry_out(const record_event& a, time_point now,
                                balancer_output& out) {
  if (const auto stamped = events.add(a.event, now)) {
    out.events.push_back(*stamped);
  }
}

void balancer::state::track_ask(const balancer_run& from, const slot_ask& ask) {
  if (flows_by_ask_.size() < max_tracked_flows) {
    flows_by_ask_[{from, ask.ask}] = {ask.caller, ask.service, ask.flow};
  }
}

}  // namespace rosemarydrum
