#include "rosemarydrum/forwarding/forwarder.h"

#include <utility>

namespace rosemarydrum {

forwarder::forwarder(forwarder_settings settings, const flow_codec& codec,
                     forwarder_observer& observer)
    : settings_(std::move(settings)),
      codec_(codec),
      observer_(observer),
      directory_(settings_.flow_lifetime),
      placement_({settings_.name, settings_.data_centre, settings_.cold_factor,
                  settings_.cold_extra, settings_.seed},
                 directory_),
      records_(settings_.flow_lifetime) {}

packet_verdict forwarder::on_packet(const flow_packet& packet, time_point now) {
  if (!routes_.is_known()) {
    return hold(packet, now);
  }
  if (packet.opens && !packet.acknowledges && !packet.resets) {
    return on_opening(packet, now);
  }
  if (packet.opens || packet.tag == upstream_tag{}) {
    return discard(packet, verdict_reason::not_a_callers_packet, now);
  }
  return on_established(packet, now);
}

// If no other forwarder is left, the fabric may send packets to this process
// before it has a configuration.
packet_verdict forwarder::hold(const flow_packet& packet, time_point now) {
  if (held_.size() >= max_held_packets) {
    return discard(packet, verdict_reason::held, now);
  }
  held_.push_back({now, {packet.datagram.begin(), packet.datagram.end()}});
  return {packet_action::discard, verdict_reason::held, {}, {}, {}};
}

void forwarder::release_held(time_point now) {
  if (held_.empty() || !routes_.is_known()) {
    return;
  }
  for (auto& each : std::exchange(held_, {})) {
    const auto packet = codec_.decode(each.datagram);
    if (packet && now - each.received_at <= max_hold_time) {
      const auto verdict = on_packet(*packet, now);
      due_.push_back({verdict, std::move(each.datagram)});
    }
  }
}

packet_verdict forwarder::on_established(const flow_packet& packet,
                                         time_point now) {
  auto* flow = flows_.find(packet.flow);
  const bool has_route = routes_.find(packet.flow.service) != nullptr;
  if (!has_route && flow != nullptr && was_route_dropped(*flow)) {
    set_load(*flow, flow_load::none);
    flows_.erase(packet.flow);
    return refuse(packet, verdict_reason::no_route, now);
  }
  const bool is_open = flow != nullptr && flow->stage != flow_stage::opening;
  const auto upstream = upstream_of(packet, flow, now);
  if (!upstream) {
    return discard(packet, verdict_reason::unknown_tag, now);
  }
  if (is_past_out_grace(*upstream, now)) {
    return discard(packet, verdict_reason::data_centre_out, now);
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
  }
  if (flow == nullptr) {
    return has_route ? to_upstream(*upstream, verdict_reason::established)
                     : discard(packet, verdict_reason::no_route, now);
  }
  if (has_route) {
    flow->had_route = true;
  } else {
    await_route(*flow);
  }
  flow->last_packet = now;
  if (flow->stage == flow_stage::opening) {
    flow->progress.open(packet.acknowledged);
    mark_open(*flow, *upstream, now);
    on_first_tag(*flow, packet.tag, now);
  }
  if (is_open) {
    on_other_tag(*flow, packet.tag, now);
  }
  const bool was_waiting = flow->progress.is_waiting();
  on_progress(*flow, packet, now);
  if (packet.finishes || packet.resets) {
    on_end(*flow, now);
  } else if (!was_waiting && flow->progress.is_waiting() &&
             stalls_.is_unresponsive(*upstream, now) && may_reset(*flow)) {
    set_load(*flow, flow_load::none);
    flows_.erase(packet.flow);
    return refuse(packet, verdict_reason::unresponsive, now);
  }
  return to_upstream(*upstream, verdict_reason::established);
}

void forwarder::on_end(open_flow& flow, time_point now) {
  if (flow.stage == flow_stage::ended) {
    return;
  }
  set_load(flow, flow_load::none);
  flow.stage = flow_stage::ended;
  if (!flow.was_placed_here()) {
    return;
  }
  if (const auto& progress = flow.progress; progress.requests() > 0) {
    const auto ended = progress.is_waiting() ? now : progress.answered_at();
    check_response(flow, progress.answer_bytes(),
                   ended - progress.request_began(), now);
  }
  observer_.on_ended(flow, directory_.at(flow.upstream), now);
}

void forwarder::mark_open(open_flow& flow, upstream_index upstream,
                          time_point now) {
  if (flow.upstream != upstream) {
    set_load(flow, flow_load::none);
    flow.upstream = upstream;
  }
  set_load(flow, flow_load::active);
  check_idle_later(flow, now);
  flow.stage = flow_stage::open;
  flow.opened_at = now;
  if (!flow.was_placed_here()) {
    return;
  }
  stalls_.on_answer(upstream, now);
  if (flow.attempts == 1) {
    stalls_.on_delivered(flow.sent_at);
  }
  placement_.on_alive(upstream, now);
  tell_answer(upstream, now, now);
  observer_.on_handshake(flow, now);
  add_round_trip(flow, now);
  ability_.on_opened(now);
  const auto warmup = service_of(upstream).warmup;
  if (placement_.on_answered(upstream, warmup, flow.sent_at, now)) {
    observer_.on_answers(flow, directory_.at(upstream), warmup, now);
  }
}

void forwarder::set_load(open_flow& flow, flow_load load) {
  placement_.on_load(flow.upstream, std::exchange(flow.load, load), load);
}

void forwarder::check_idle_later(open_flow& flow, time_point now) {
  if (!std::exchange(flow.idle_check_pending, true)) {
    idle_deadlines_.push_back({now + max_answer_gap, flow.ends, now});
  }
}

void forwarder::check_idle_flows(time_point now) {
  while (!idle_deadlines_.empty() && idle_deadlines_.front().due <= now) {
    const auto next = idle_deadlines_.front();
    idle_deadlines_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow == nullptr || flow->stage != flow_stage::open) {
      continue;
    }
    flow->idle_check_pending = false;
    if (flow->progress.is_waiting()) {
      // The answer schedules the next check.
      continue;
    }
    if (now - flow->last_packet < max_answer_gap) {
      check_idle_later(*flow, now);
    } else if (flow->load == flow_load::active) {
      set_load(*flow, flow_load::idle);
    }
  }
}

packet_verdict forwarder::refuse(const flow_packet& packet,
                                 verdict_reason reason, time_point now) {
  const auto [matched_route, target] = routes_.route_of(packet.flow);
  const auto service = target == nullptr ? std::string() : target->service;
  observer_.on_refused(packet, reason,
                       matched_route == nullptr ? "" : matched_route->name,
                       service, placement_.count_upstreams(service, now), now);
  return {packet_action::reset, reason, {}, {}, {}};
}

packet_verdict forwarder::discard(const flow_packet& packet,
                                  verdict_reason reason, time_point now) {
  observer_.on_discarded(packet, reason, now);
  return {packet_action::discard, reason, {}, {}, {}};
}

packet_verdict forwarder::to_upstream(upstream_index upstream,
                                      verdict_reason reason) const {
  const auto& known = directory_.at(upstream);
  return {packet_action::forward, reason, known.record.key, known.tag,
          known.record.address};
}

bool forwarder::is_past_out_grace(upstream_index upstream,
                                  time_point now) const {
  const auto found =
      data_centres_.find(directory_.at(upstream).record.data_centre);
  return found != data_centres_.end() && found->second.out &&
         now - found->second.since >= settings_.out_grace;
}

const fleet_service& forwarder::service_of(upstream_index upstream) const {
  return routes_.service(directory_.at(upstream).record.service);
}

}  // namespace rosemarydrum
