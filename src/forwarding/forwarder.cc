#include "rosemarydrum/forwarding/forwarder.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// An upstream writes its entry this often at least, so that the entry of one
/// that has become cold may be as old.
constexpr milliseconds entry_delay{2000};

packet_verdict without_upstream(packet_fate fate, fate_reason reason) {
  return {fate, reason, {}, {}, {}};
}

}  // namespace

forwarder::forwarder(forwarder_settings settings)
    : settings_(std::move(settings)),
      directory_(settings_.flow_lifetime),
      placement_({settings_.name, settings_.data_centre, settings_.cold_factor,
                  settings_.cold_extra, settings_.seed},
                 directory_) {}

packet_verdict forwarder::on_packet(const flow_packet& packet, time_point now) {
  if (packet.opens && !packet.acknowledges && !packet.resets) {
    return on_opening(packet, now);
  }
  if (packet.opens || packet.tag == upstream_tag{}) {
    return without_upstream(packet_fate::discard,
                            fate_reason::not_a_callers_packet);
  }
  return on_established(packet, now);
}

packet_verdict forwarder::on_opening(const flow_packet& packet,
                                     time_point now) {
  auto* flow = flows_.find(packet.flow);
  if (flow != nullptr && flow->stage == flow_stage::open) {
    // A copy that was delayed: its upstream knows the flow.
    return to_upstream(flow->upstream, fate_reason::established);
  }
  if (routes_.find(packet.flow.service) == nullptr) {
    return without_upstream(packet_fate::discard, fate_reason::no_route);
  }
  std::optional<upstream_index> avoided;
  if (flow != nullptr && flow->stage == flow_stage::opening) {
    note_unanswered(*flow, now);
    avoided = flow->upstream;
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
  }
  if (flow != nullptr) {
    flow->last_packet = now;
    flow->opening.assign(packet.datagram.begin(), packet.datagram.end());
    flow->repeats = 0;
    if (const auto verdict = place(*flow, avoided, now)) {
      return *verdict;
    }
    flows_.erase(packet.flow);
  }
  ability_.on_failed(now);
  return without_upstream(packet_fate::reset, fate_reason::no_upstream);
}

std::optional<packet_verdict> forwarder::place(
    open_flow& flow, std::optional<upstream_index> avoided, time_point now) {
  const auto* found = routes_.find(flow.ends.service);
  const auto* target =
      found == nullptr
          ? nullptr
          : route_table::target_for(*found, std::hash<flow_ends>{}(flow.ends));
  const auto chosen =
      target == nullptr
          ? std::nullopt
          : placement_.choose(routes_.service(target->service), avoided, now);
  if (!chosen) {
    end(flow);
    return std::nullopt;
  }
  end(flow);
  placement_.on_placed(chosen->upstream,
                       chosen->reason != placement_reason::least_loaded, now);
  flow.stage = flow_stage::opening;
  flow.upstream = chosen->upstream;
  flow.sent_at = now;
  flow.counted = true;
  ++flow.attempts;
  openings_.push_back({now + handshake_timeout, flow.ends, now});
  return to_upstream(chosen->upstream, fate_reason::placed);
}

std::vector<repeated_opening> forwarder::repeat_openings(time_point now) {
  std::vector<repeated_opening> repeated;
  while (!openings_.empty() && openings_.front().due <= now) {
    const auto next = openings_.front();
    openings_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow == nullptr || flow->stage != flow_stage::opening ||
        flow->sent_at != next.sent_at || flow->repeats >= most_repeats) {
      continue;
    }
    note_unanswered(*flow, now);
    ++flow->repeats;
    const auto before = flow->upstream;
    const auto verdict = place(*flow, before, now);
    if (verdict && flow->upstream != before) {
      repeated.push_back({*verdict, flow->opening});
    }
  }
  return repeated;
}

packet_verdict forwarder::on_established(const flow_packet& packet,
                                         time_point now) {
  if (routes_.is_known() && routes_.find(packet.flow.service) == nullptr) {
    return without_upstream(packet_fate::reset, fate_reason::no_route);
  }
  auto* flow = flows_.find(packet.flow);
  const bool is_open = flow != nullptr && flow->stage != flow_stage::opening;
  const auto upstream =
      is_open ? std::optional(flow->upstream) : directory_.find(packet.tag);
  if (!upstream) {
    return without_upstream(packet_fate::discard, fate_reason::unknown_tag);
  }
  if (is_given_up(*upstream, now)) {
    return without_upstream(packet_fate::discard, fate_reason::data_centre_out);
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
  }
  if (flow != nullptr) {
    flow->last_packet = now;
    if (flow->stage == flow_stage::opening) {
      open(*flow, *upstream, now);
    }
    if (packet.finishes || packet.resets) {
      end(*flow);
      flow->stage = flow_stage::ended;
    }
  }
  return to_upstream(*upstream, fate_reason::established);
}

void forwarder::open(open_flow& flow, upstream_index upstream, time_point now) {
  const bool was_placed_here = flow.attempts > 0;
  if (!flow.counted || flow.upstream != upstream) {
    end(flow);
    placement_.on_placed(upstream, false, now);
    flow.counted = true;
    flow.upstream = upstream;
  }
  if (was_placed_here) {
    placement_.on_answered(upstream, service_of(upstream).warmup, flow.sent_at,
                           now);
    ability_.on_opened(now);
  }
  flow.stage = flow_stage::open;
  flow.opening = {};
}

void forwarder::end(open_flow& flow) {
  if (flow.counted) {
    placement_.on_ended(flow.upstream);
    flow.counted = false;
  }
}

void forwarder::note_unanswered(const open_flow& flow, time_point now) {
  if (flow.counted) {
    placement_.on_unanswered(flow.upstream, flow.sent_at, now);
    ability_.on_failed(now);
  }
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

void forwarder::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.what)) {
    if (const auto index = directory_.apply(*upstream, change.changed, now)) {
      placement_.on_record(*index);
    }
  } else if (const auto* routes =
                 std::get_if<configuration_change>(&change.what)) {
    if (change.changed > routes_changed_) {
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

void forwarder::set_members(std::vector<std::string> names) {
  placement_.set_members(std::move(names));
}

void forwarder::on_reconnected() {
  placement_.on_reconnected();
  ability_.reset();
}

void forwarder::on_stall() { openings_.clear(); }

void forwarder::tick(time_point now) {
  flows_.expire(now, [this](open_flow& flow) { end(flow); });
  directory_.forget_gone(now, [this](upstream_index index) {
    flows_.erase_if(
        [index](const open_flow& flow) { return flow.upstream == index; });
    placement_.forget(index);
  });
}

}  // namespace rosemarydrum
