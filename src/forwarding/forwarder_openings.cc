#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

packet_verdict forwarder::on_opening(const flow_packet& packet,
                                     time_point now) {
  auto* flow = flows_.find(packet.flow);
  if (flow != nullptr && flow->stage == flow_stage::open &&
      now - flow->began < max_opening_time) {
    // A delayed retransmission; the upstream knows the flow already.
    return to_upstream(flow->upstream, verdict_reason::established);
  }
  if (routes_.find(packet.flow.service) == nullptr) {
    // The route may be newer than the known configuration, so the packet is
    // dropped without a reset and the caller retransmits it.
    return discard(packet, verdict_reason::no_route, now);
  }
  if (is_recovering_from_stall(now)) {
    return discard(packet, verdict_reason::stalled, now);
  }
  const bool is_retransmission =
      flow != nullptr && flow->stage == flow_stage::opening;
  if (!is_retransmission) {
    if (const auto upstream = opened_elsewhere(packet.flow, now)) {
      return to_upstream(*upstream, verdict_reason::established);
    }
    if (!is_admitted(packet, now)) {
      return refuse(packet, verdict_reason::overloaded, now);
    }
    if (flow != nullptr) {
      // The caller uses the port of an earlier flow again.
      set_load(*flow, flow_load::none);
    }
    flow = flows_.insert(packet.flow, now);
    if (flow == nullptr) {
      return refuse(packet, verdict_reason::no_upstream, now);
    }
    if (packet.acknowledged > 0) {
      // The first transmission went to another forwarder, which may have sent
      // it to an upstream.
      flow->is_shared = true;
      tell_others(*flow, flow_record_kind::opening, now);
    }
  }
  flow->last_packet = now;
  flow->opening.assign(packet.datagram.begin(), packet.datagram.end());
  flow->repeats = 0;
  const auto verdict = is_retransmission
                           ? place_again(*flow, repeat_cause::callers_copy, now)
                           : place(*flow, std::nullopt, true, now);
  if (!verdict) {
    flows_.erase(packet.flow);
    return refuse_opening(packet, now);
  }
  return *verdict;
}

// The first transmission of a copy may have been placed by another forwarder.
bool forwarder::is_admitted(const flow_packet& packet, time_point now) {
  const auto [matched_route, target] = routes_.route_of(packet.flow);
  return packet.acknowledged > 0 || target == nullptr ||
         overload_.admits(target->service, matched_route->priority, now);
}

// A reset is final for the caller, so it is sent only if no forwarder can place
// the flow. Without a reset the caller retransmits, and the fabric may route
// the packet to another forwarder.
packet_verdict forwarder::refuse_opening(const flow_packet& packet,
                                         time_point now) {
  ability_.on_failed(now);
  const auto* target = routes_.route_of(packet.flow).target;
  if (target != nullptr &&
      placement_.count_upstreams(target->service, now).unreachable > 0) {
    return discard(packet, verdict_reason::unreachable, now);
  }
  if (now - confirmed_ >= settings_.max_state_age) {
    return discard(packet, verdict_reason::outdated, now);
  }
  return refuse(packet, verdict_reason::no_upstream, now);
}

std::optional<packet_verdict> forwarder::place(
    open_flow& flow, std::optional<upstream_index> previous, bool may_repeat,
    time_point now) {
  set_load(flow, flow_load::none);
  const auto [matched_route, target] = routes_.route_of(flow.ends);
  const auto chosen =
      target == nullptr
          ? std::nullopt
          : placement_.choose(
                target->service,
                routes_.service(target->service).cold_requests_per_second,
                previous, may_repeat, now);
  if (!chosen) {
    return std::nullopt;
  }
  placement_.on_placed(chosen->upstream,
                       chosen->reason != placement_reason::least_loaded, now);
  flow.stage = flow_stage::opening;
  flow.upstream = chosen->upstream;
  const auto key = directory_.at(chosen->upstream).record.key;
  if (std::find(flow.tried.begin(), flow.tried.end(), key) ==
      flow.tried.end()) {
    flow.tried.push_back(key);
  }
  flow.load = flow_load::active;
  flow.choice = *chosen;
  flow.had_route = true;
  flow.route = matched_route->name;
  flow.objective = matched_route->objective;
  flow.priority = matched_route->priority;
  flow.sent_at = now;
  ++flow.attempts;
  handshake_deadlines_.push_back({now + handshake_timeout(), flow.ends, now});
  auto verdict = to_upstream(chosen->upstream, verdict_reason::placed);
  verdict.tag = directory_.opening_tag(chosen->upstream);
  return verdict;
}

std::optional<packet_verdict> forwarder::place_again(open_flow& flow,
                                                     repeat_cause cause,
                                                     time_point now) {
  const auto previous = flow.upstream;
  const auto waited = now - flow.sent_at;
  record_unanswered(flow, now);
  const bool may_repeat = cause == repeat_cause::callers_copy;
  const auto verdict = place(flow, previous, may_repeat, now);
  if (verdict && flow.upstream != previous) {
    observer_.on_placed_again(flow, directory_.at(flow.upstream),
                              directory_.at(previous), waited, cause, now);
  }
  return verdict;
}

std::vector<delayed_packet> forwarder::due_packets(bool has_backlog,
                                                   time_point now) {
  release_held(now);
  check_idle_flows(now);
  if (!has_backlog) {
    repeat_openings(now);
    check_stalls(now);
  }
  return std::exchange(due_, {});
}

void forwarder::repeat_openings(time_point now) {
  while (!handshake_deadlines_.empty() &&
         handshake_deadlines_.front().due <= now) {
    const auto next = handshake_deadlines_.front();
    handshake_deadlines_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow == nullptr || flow->stage != flow_stage::opening ||
        flow->sent_at != next.sent_at || flow->repeats >= max_opening_repeats) {
      continue;
    }
    ++flow->repeats;
    if (const auto verdict = place_again(*flow, repeat_cause::timeout, now)) {
      due_.push_back({*verdict, flow->opening});
    }
  }
}

duration forwarder::handshake_timeout() const {
  return std::clamp<duration>(round_trip_.timeout(), min_handshake_timeout,
                              max_handshake_timeout);
}

// Each upstream was sent its own copy, unless the caller has retransmitted.
void forwarder::add_round_trip(const open_flow& flow, time_point now) {
  const auto key = directory_.at(flow.upstream).record.key;
  if (flow.attempts != flow.tried.size()) {
    return;
  }
  if (flow.tried.front() == key) {
    round_trip_.add(now - flow.began);
  } else if (flow.tried.back() == key) {
    round_trip_.add(now - flow.sent_at);
  }
}

void forwarder::suspect_restart(upstream_index upstream, incarnation reporter,
                                time_point sent, time_point now) {
  const auto warmup = service_of(upstream).warmup;
  if (placement_.suspect_restart(upstream, sent, warmup, now)) {
    observer_.on_suspected(directory_.at(upstream), reporter, sent, now);
  }
}

void forwarder::record_unanswered(const open_flow& flow, time_point now) {
  if (flow.load == flow_load::none || flow.sent_at < handshake_health_since_) {
    return;
  }
  ability_.on_failed(now);
  if (stalls_.is_telling_handshake(flow.sent_at, now)) {
    suspect_restart(flow.upstream, {}, flow.sent_at, now);
    sightings_.push_back(
        {flow.upstream, sighting_kind::unanswered_handshake, flow.sent_at});
    watch_for_earlier_flow(flow.upstream, flow.sent_at, now);
  }
  if (placement_.on_unanswered(flow.upstream, flow.sent_at, now)) {
    observer_.on_silent(flow, directory_.at(flow.upstream),
                        placement_.unanswered(flow.upstream), now);
  }
}

}  // namespace rosemarydrum
