#include "balancer/balancer_state.h"
#include "rosemarydrum/rendezvous.h"

/// Periodic work: leases, heartbeats, copies of flow bindings, timeouts.
namespace rosemarydrum {

void balancer::state::send_heartbeats(time_point now, actions& out) {
  const auto due = members.due_heartbeat_peers(now, out);
  if (due.empty()) {
    return;
  }
  const bool may_decide = !leaving && config.is_ready(now);
  const auto wanted = leases.wanted(candidates(now), may_decide);
  const auto held = leases.held(now);
  const auto limits = slots.limits();
  for (const auto to : due) {
    auto beat = members.next_heartbeat(to, config.current().highest,
                                       leaving || !config.is_ready(now), now);
    if (members.is_in_cell(to)) {
      beat.wanted = wanted;
      beat.granted = leases.take_granted(to);
      beat.held = held;
      beat.limits = limits;
    }
    out.push_back(send_to_peer{to, {}, std::move(beat)});
  }
}

std::vector<balancer_id> balancer::state::candidates(time_point now) const {
  auto serving = members.serving(settings.data_centre, now);
  // A new run does not know the grants of the previous run.
  std::erase_if(serving, [&](balancer_id id) {
    return members.restarted_recently(id, now);
  });
  return serving;
}

void balancer::state::update_leases(time_point now, actions& out) {
  const bool may_decide = !leaving && config.is_ready(now);
  const auto candidate_ids = candidates(now);
  for (const auto id : members.configured(settings.data_centre)) {
    if (id != settings.self.id && !members.is_live(id, now)) {
      leases.on_peer_lost(id);
    }
  }
  const auto wanted = leases.wanted(candidate_ids, may_decide);
  leases.vote_for_self(wanted, now);
  const auto acquired = leases.update(
      wanted, candidate_ids, members.may_have_running_requests(started, now),
      may_decide, slots, now, out);
  for (const auto shard : acquired) {
    out.push_back(
        send_to_peer{settings.self.id, settings.self.run,
                     grants_report{shard, owner.running(shard, now)}});
  }
}

void balancer::state::update_successor(time_point now) {
  auto others = members.serving(settings.data_centre, now);
  std::erase(others, settings.self.id);
  if (!others.empty()) {
    const auto run_of = [&](balancer_id id) {
      return balancer_run{id, members.run_of(id)};
    };
    owner.set_successor(run_of(others.front()), run_of(others.back()));
  }
}

void balancer::state::tick(time_point now, actions& out) {
  if (leaving) {
    update_successor(now);
  }
  if (!start_recorded) {
    start_recorded = true;
    event_record event;
    event.id = event_id::process_started;
    out.push_back(record_event{event});
  }
  config.tick(now, out);
  if (!ready_recorded && config.is_ready(now)) {
    ready_recorded = true;
    event_record event;
    event.id = event_id::process_ready;
    event.configuration = config.current().highest;
    out.push_back(record_event{event});
  }
  update_leases(now, out);
  send_heartbeats(now, out);
  slots.tick(now, out);
  asks.tick(now);
  owner.tick(now, out);
  witness.tick(now);
  forwarder.tick(now, out);
  resolver.tick(now, out);
  flows.tick(now);
  send_flow_copies(now, out);
}

void balancer::state::send_flow_copies(time_point now, actions& out) {
  const auto copies = flows.take_copies(config.current(), now);
  if (copies.empty()) {
    return;
  }
  auto cell = members.serving(settings.data_centre, now);
  std::erase(cell, settings.self.id);
  const auto to = rendezvous_first(value_of(settings.self.id), cell);
  for (const auto& copy : copies) {
    if (to) {
      out.push_back(send_to_peer{*to, {}, copy});
    }
  }
}

}  // namespace rosemarydrum
