#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

forwarder::forwarder(forwarder_settings settings)
    : directory_(settings.flow_lifetime),
      placement_({.data_centre = settings.data_centre, .seed = settings.seed},
                 directory_) {}

packet_verdict forwarder::on_packet(const flow_packet& packet, time_point now) {
  if (packet.opens && !packet.acknowledges && !packet.resets) {
    return on_opening(packet, now);
  }
  if (packet.opens || packet.tag == upstream_tag{}) {
    return {packet_fate::discard, fate_reason::not_a_callers_packet, {}, {}, {}};
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
  std::optional<upstream_index> avoided;
  if (flow != nullptr && flow->stage == flow_stage::opening) {
    placement_.on_unanswered(flow->upstream, flow->sent_at, now);
    avoided = flow->upstream;
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
    if (flow == nullptr) {
      return {packet_fate::reset, fate_reason::no_upstream, {}, {}, {}};
    }
  }
  flow->last_packet = now;
  return place(packet, *flow, avoided, now);
}

packet_verdict forwarder::place(const flow_packet& packet, open_flow& flow,
                                std::optional<upstream_index> avoided,
                                time_point now) {
  end(flow);
  const auto* found = routes_.find(packet.flow.service);
  if (found == nullptr) {
    flows_.erase(packet.flow);
    return {packet_fate::discard, fate_reason::no_route, {}, {}, {}};
  }
  const auto draw = std::hash<flow_ends>{}(packet.flow);
  const auto* target = route_table::target_for(*found, draw);
  const auto chosen =
      target == nullptr
          ? std::nullopt
          : placement_.choose(target->service, avoided, now);
  if (!chosen) {
    flows_.erase(packet.flow);
    return {packet_fate::reset, fate_reason::no_upstream, {}, {}, {}};
  }
  placement_.on_placed(*chosen, now);
  flow.stage = flow_stage::opening;
  flow.upstream = chosen->upstream;
  flow.sent_at = now;
  flow.counted = true;
  ++flow.attempts;
  return to_upstream(chosen->upstream, fate_reason::placed);
}

packet_verdict forwarder::on_established(const flow_packet& packet,
                                         time_point now) {
  if (routes_.is_known() && routes_.find(packet.flow.service) == nullptr) {
    return {packet_fate::reset, fate_reason::no_route, {}, {}, {}};
  }
  auto* flow = flows_.find(packet.flow);
  const bool is_open = flow != nullptr && flow->stage != flow_stage::opening;
  const auto tagged = is_open ? flow->upstream : directory_.find(packet.tag);
  if (!tagged) {
    return {packet_fate::discard, fate_reason::unknown_tag, {}, {}, {}};
  }
  if (flow == nullptr) {
    flow = flows_.insert(packet.flow, now);
  }
  if (flow != nullptr) {
    flow->last_packet = now;
    if (flow->stage == flow_stage::opening) {
      open(*flow, *tagged, now);
    }
    if (packet.finishes || packet.resets) {
      end(*flow);
      flow->stage = flow_stage::ended;
    }
  }
  return to_upstream(*tagged, fate_reason::established);
}

void forwarder::open(open_flow& flow, upstream_index upstream, time_point now) {
  if (!flow.counted || flow.upstream != upstream) {
    end(flow);
    placement_.on_placed({upstream, placement_reason::least_loaded}, now);
    flow.counted = true;
    flow.upstream = upstream;
  }
  if (flow.attempts > 0) {
    placement_.on_answered(upstream, service_of(upstream).warmup, flow.sent_at,
                           now);
  }
  flow.stage = flow_stage::open;
}

void forwarder::end(open_flow& flow) {
  if (flow.counted) {
    placement_.on_ended(flow.upstream);
    flow.counted = false;
  }
}

packet_verdict forwarder::to_upstream(upstream_index upstream,
                                      fate_reason reason) const {
  const auto& known = directory_.at(upstream);
  return {packet_fate::forward, reason, known.record.key, known.tag,
          known.record.address};
}

const fleet_service& forwarder::service_of(upstream_index upstream) const {
  return routes_.service(directory_.at(upstream).record.service);
}

void forwarder::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.what)) {
    const auto known = directory_.find(upstream->record.key);
    const auto run =
        known ? directory_.at(*known).record.run : upstream->record.run;
    if (const auto index = directory_.apply(*upstream, change.changed, now)) {
      placement_.on_record(*index, directory_.at(*index).record.run != run);
    }
  } else if (const auto* routes =
                 std::get_if<configuration_change>(&change.what)) {
    if (change.changed > routes_changed_) {
      routes_changed_ = change.changed;
      routes_ = route_table(routes->value);
    }
  } else if (const auto* state =
                 std::get_if<data_centre_change>(&change.what)) {
    auto& known = data_centres_changed_[state->name];
    if (change.changed > known) {
      known = change.changed;
      placement_.set_out(state->name, state->out);
    }
  }
}

void forwarder::on_upstream_list(std::span<const upstream_key> present,
                                 revision at, time_point now) {
  directory_.keep_only(present, at, now);
}

void forwarder::tick(time_point now) {
  flows_.expire(now, [this](open_flow& flow) { end(flow); });
  directory_.forget_gone(now, [this](upstream_index index) {
    flows_.erase_if(
        [index](const open_flow& flow) { return flow.upstream == index; });
    placement_.forget(index);
  });
}

}  // namespace rosemarydrum
