#include "rosemarydrum/forwarding/forwarder.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

/// An upstream writes its entry this often at least, so that the entry of one
/// that has become cold may be as old.
constexpr milliseconds entry_delay{2000};
/// What waited while the process did not run is read within this time.
constexpr milliseconds backlog_time{20};
/// After a longer stall than this, what is known has to be confirmed before
/// flows are placed by it, or this much time must have passed.
constexpr milliseconds long_stall{1000};
constexpr milliseconds knowledge_patience{600};
/// Until the fabric has seen that a new process is ready, it may send the later
/// packets of the flows that are placed here to other forwarders.
constexpr milliseconds rotation_time{1000};

}  // namespace

forwarder::forwarder(forwarder_settings settings, const flow_codec& codec,
                     forwarder_observer& observer)
    : settings_(std::move(settings)),
      codec_(codec),
      observer_(observer),
      directory_(settings_.flow_lifetime),
      placement_({settings_.name, settings_.data_centre, settings_.cold_factor,
                  settings_.cold_extra, settings_.seed},
                 directory_) {}

packet_verdict forwarder::on_packet(const flow_packet& packet, time_point now) {
  if (!routes_.is_known()) {
    return hold(packet, now);
  }
  if (packet.opens && !packet.acknowledges && !packet.resets) {
    return on_opening(packet, now);
  }
  if (packet.opens || packet.tag == upstream_tag{}) {
    return discard(packet, fate_reason::not_a_callers_packet, now);
  }
  return on_established(packet, now);
}

// The fabric may send callers here before this process knows anything, when no
// other forwarder is left.
packet_verdict forwarder::hold(const flow_packet& packet, time_point now) {
  if (held_.size() >= most_held) {
    return discard(packet, fate_reason::held, now);
  }
  held_.push_back({now, {packet.datagram.begin(), packet.datagram.end()}});
  return {packet_fate::discard, fate_reason::held, {}, {}, {}};
}

void forwarder::release_held(time_point now) {
  if (held_.empty() || !routes_.is_known()) {
    return;
  }
  for (auto& each : std::exchange(held_, {})) {
    const auto packet = codec_.decode(each.datagram);
    if (packet && now - each.came_at <= longest_hold) {
      const auto verdict = on_packet(*packet, now);
      due_.push_back({verdict, std::move(each.datagram)});
    }
  }
}

packet_verdict forwarder::on_opening(const flow_packet& packet,
                                     time_point now) {
  auto* flow = flows_.find(packet.flow);
  if (flow != nullptr && flow->stage == flow_stage::open) {
    // A copy that was delayed: its upstream knows the flow.
    return to_upstream(flow->upstream, fate_reason::established);
  }
  if (routes_.find(packet.flow.service) == nullptr) {
    // The route may be newer than what is known here. The caller tries again.
    return discard(packet, fate_reason::no_route, now);
  }
  if (is_too_old(now)) {
    return discard(packet, fate_reason::stalled, now);
  }
  const bool is_copy = flow != nullptr && flow->stage == flow_stage::opening;
  if (!is_copy) {
    flow = flows_.insert(packet.flow, now);
    if (flow == nullptr) {
      return refuse(packet, fate_reason::no_upstream, now);
    }
  }
  flow->last_packet = now;
  flow->opening.assign(packet.datagram.begin(), packet.datagram.end());
  flow->repeats = 0;
  const auto verdict = is_copy
                           ? place_again(*flow, repeat_cause::callers_copy, now)
                           : place(*flow, std::nullopt, true, now);
  if (!verdict) {
    flows_.erase(packet.flow);
    return refuse_opening(packet, now);
  }
  return *verdict;
}

// A reset is final, so it is sent only if no forwarder can place the flow.
// Without it the caller sends its packet again, through whichever forwarder
// the fabric has in rotation by then.
packet_verdict forwarder::refuse_opening(const flow_packet& packet,
                                         time_point now) {
  ability_.on_failed(now);
  const auto* found = routes_.find(packet.flow.service);
  const auto* target = found == nullptr
                           ? nullptr
                           : route_table::target_for(
                                 *found, std::hash<flow_ends>{}(packet.flow));
  if (target != nullptr &&
      placement_.census(target->service, now).unreachable > 0) {
    return discard(packet, fate_reason::unreachable, now);
  }
  return refuse(packet, fate_reason::no_upstream, now);
}

std::optional<packet_verdict> forwarder::place(
    open_flow& flow, std::optional<upstream_index> before, bool may_repeat,
    time_point now) {
  end(flow);
  const auto* found = routes_.find(flow.ends.service);
  const auto* target =
      found == nullptr
          ? nullptr
          : route_table::target_for(*found, std::hash<flow_ends>{}(flow.ends));
  const auto chosen =
      target == nullptr
          ? std::nullopt
          : placement_.choose(
                target->service,
                routes_.service(target->service).cold_requests_per_second,
                before, may_repeat, now);
  if (!chosen) {
    return std::nullopt;
  }
  placement_.on_placed(chosen->upstream,
                       chosen->reason != placement_reason::least_loaded, now);
  flow.stage = flow_stage::opening;
  flow.upstream = chosen->upstream;
  flow.counted = true;
  flow.choice = *chosen;
  flow.route = found->name;
  flow.objective = found->objective;
  flow.sent_at = now;
  ++flow.attempts;
  openings_.push_back({now + handshake_timeout, flow.ends, now});
  return to_upstream(chosen->upstream, fate_reason::placed);
}

std::optional<packet_verdict> forwarder::place_again(open_flow& flow,
                                                     repeat_cause cause,
                                                     time_point now) {
  const auto before = flow.upstream;
  const auto waited = now - flow.sent_at;
  note_unanswered(flow, now);
  const bool may_repeat = cause == repeat_cause::callers_copy;
  const auto verdict = place(flow, before, may_repeat, now);
  if (verdict && flow.upstream != before) {
    observer_.on_placed_again(flow, directory_.at(flow.upstream),
                              directory_.at(before), waited, cause, now);
  }
  return verdict;
}

std::vector<delayed_packet> forwarder::due_packets(bool has_backlog,
                                                   time_point now) {
  release_held(now);
  if (!has_backlog) {
    repeat_openings(now);
  }
  return std::exchange(due_, {});
}

void forwarder::repeat_openings(time_point now) {
  while (!openings_.empty() && openings_.front().due <= now) {
    const auto next = openings_.front();
    openings_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow == nullptr || flow->stage != flow_stage::opening ||
        flow->sent_at != next.sent_at || flow->repeats >= most_repeats) {
      continue;
    }
    ++flow->repeats;
    if (const auto verdict = place_again(*flow, repeat_cause::timeout, now)) {
      due_.push_back({*verdict, flow->opening});
    }
  }
}

packet_verdict forwarder::on_established(const flow_packet& packet,
                                         time_point now) {
  if (routes_.find(packet.flow.service) == nullptr) {
    return refuse(packet, fate_reason::no_route, now);
  }
  auto* flow = flows_.find(packet.flow);
  const bool is_open = flow != nullptr && flow->stage != flow_stage::opening;
  // The tag of a flow whose opening packet was repeated may change with a late
  // answer; its first one counts.
  const auto upstream =
      is_open ? std::optional(flow->upstream) : directory_.find(packet.tag);
  if (!upstream) {
    return discard(packet, fate_reason::unknown_tag, now);
  }
  if (is_given_up(*upstream, now)) {
    return discard(packet, fate_reason::data_centre_out, now);
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
  }
  if (flow != nullptr) {
    flow->last_packet = now;
    if (flow->stage == flow_stage::opening) {
      open(*flow, *upstream, now);
    }
    note_data(*flow, packet, now);
    if ((packet.finishes || packet.resets) &&
        flow->stage != flow_stage::ended) {
      end(*flow);
      flow->stage = flow_stage::ended;
      if (flow->was_placed_here()) {
        if (flow->first_data_at != time_point{}) {
          placement_.on_flow_time(*upstream, now - flow->first_data_at, now);
        }
        observer_.on_ended(*flow, directory_.at(*upstream), now);
      }
    }
  }
  return to_upstream(*upstream, fate_reason::established);
}

void forwarder::open(open_flow& flow, upstream_index upstream, time_point now) {
  if (!flow.counted || flow.upstream != upstream) {
    end(flow);
    placement_.on_placed(upstream, false, now);
    flow.counted = true;
    flow.upstream = upstream;
  }
  flow.stage = flow_stage::open;
  flow.opening = {};
  flow.opened_at = now;
  if (!flow.was_placed_here()) {
    return;
  }
  observer_.on_handshake(flow, now);
  ability_.on_opened(now);
  const auto warmup = service_of(upstream).warmup;
  if (placement_.on_answered(upstream, warmup, flow.sent_at, now)) {
    observer_.on_answers(flow, directory_.at(upstream), warmup, now);
  }
}

void forwarder::note_data(open_flow& flow, const flow_packet& packet,
                          time_point now) {
  if (!flow.was_placed_here() || packet.data.empty() ||
      flow.first_data_at != time_point{}) {
    return;
  }
  flow.first_data_at = now;
  flow.request = codec_.request_id(packet.data);
  observer_.on_opened(flow, directory_.at(flow.upstream), now);
}

void forwarder::end(open_flow& flow) {
  if (flow.counted) {
    placement_.on_ended(flow.upstream);
    flow.counted = false;
  }
}

void forwarder::note_unanswered(const open_flow& flow, time_point now) {
  if (!flow.counted || flow.sent_at < evidence_from_) {
    return;
  }
  ability_.on_failed(now);
  if (placement_.on_unanswered(flow.upstream, flow.sent_at, now)) {
    observer_.on_silent(flow, directory_.at(flow.upstream),
                        placement_.unanswered(flow.upstream), now);
  }
}

packet_verdict forwarder::refuse(const flow_packet& packet, fate_reason reason,
                                 time_point now) {
  const auto* found = routes_.find(packet.flow.service);
  const auto* target = found == nullptr
                           ? nullptr
                           : route_table::target_for(
                                 *found, std::hash<flow_ends>{}(packet.flow));
  const auto service = target == nullptr ? std::string() : target->service;
  observer_.on_refused(packet, reason, found == nullptr ? "" : found->name,
                       service, placement_.census(service, now), now);
  return {packet_fate::reset, reason, {}, {}, {}};
}

packet_verdict forwarder::discard(const flow_packet& packet, fate_reason reason,
                                  time_point now) {
  observer_.on_discarded(packet, reason, now);
  return {packet_fate::discard, reason, {}, {}, {}};
}

packet_verdict forwarder::to_upstream(upstream_index upstream,
                                      fate_reason reason) const {
  const auto& known = directory_.at(upstream);
  return {packet_fate::forward, reason, known.record.key, known.tag,
          known.record.address};
}

bool forwarder::is_given_up(upstream_index upstream, time_point now) const {
  const auto found =
      data_centres_.find(directory_.at(upstream).record.data_centre);
  return found != data_centres_.end() && found->second.out &&
         now - found->second.since >= settings_.out_grace;
}

const fleet_service& forwarder::service_of(upstream_index upstream) const {
  return routes_.service(directory_.at(upstream).record.service);
}

void forwarder::on_update(const fleet_update& news, time_point now) {
  confirmed_ = news.confirmed_at;
  placement_.set_confirmed(news.confirmed_at);
  ability_.set_confirmed(news.confirmed_at);
  if (news.members) {
    placement_.set_members(*news.members);
  }
  if (news.reconnected) {
    // What was seen while this process was cut off says nothing of upstreams.
    placement_.on_reconnected();
    ability_.reset();
  }
  for (const auto& change : news.changes) {
    on_change(change, now);
  }
}

void forwarder::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.what)) {
    if (const auto index = directory_.apply(*upstream, change.changed, now)) {
      placement_.on_record(*index);
    }
  } else if (const auto* routes =
                 std::get_if<configuration_change>(&change.what)) {
    if (change.changed > routes_changed_) {
      if (!routes_.is_known()) {
        evidence_from_ = now + rotation_time;
      }
      routes_changed_ = change.changed;
      routes_ = route_table(routes->value);
    }
  } else if (const auto* state =
                 std::get_if<data_centre_change>(&change.what)) {
    on_data_centre(*state, change.changed, now);
  }
}

void forwarder::on_data_centre(const data_centre_change& change,
                               revision changed, time_point now) {
  auto& known = data_centres_[change.name];
  if (changed <= known.changed) {
    return;
  }
  if (known.out && !change.out) {
    placement_.spare(change.name, entry_delay + routes_.longest_warmup(), now);
  }
  known.changed = changed;
  if (known.out != change.out) {
    known.out = change.out;
    known.since = now;
  }
  placement_.set_out(change.name, change.out);
}

void forwarder::on_stall(duration stalled, time_point now) {
  openings_.clear();
  stall_ends_ = now;
  old_packets_until_ = now + backlog_time;
  if (stalled >= long_stall) {
    old_knowledge_until_ = now + knowledge_patience;
  }
}

// Opening packets that waited while the process did not run have been given up
// by their callers. Those that come later are placed by what is known, which
// may be as old as the stall.
bool forwarder::is_too_old(time_point now) const {
  return now < old_packets_until_ ||
         (now < old_knowledge_until_ && confirmed_ < stall_ends_);
}

void forwarder::tick(time_point now) {
  flows_.expire(now, [this, now](open_flow& flow) {
    if (flow.stage == flow_stage::opening && flow.counted) {
      observer_.on_unanswered(flow, directory_.at(flow.upstream), now);
    }
    end(flow);
  });
  const bool was_unable = std::exchange(is_unable_, ability_.is_unable(now));
  if (was_unable && !is_unable_) {
    // If nearly nothing answered, that says little of single upstreams, and
    // none was tried since.
    placement_.on_reconnected();
  }
  directory_.forget_gone(now, [this](upstream_index index) {
    flows_.erase_if(
        [index](const open_flow& flow) { return flow.upstream == index; });
    placement_.forget(index);
  });
}

}  // namespace rosemarydrum
