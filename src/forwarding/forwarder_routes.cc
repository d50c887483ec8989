#include "rosemarydrum/forwarding/forwarder.h"

// Open flows whose route is not in the known configuration. The route may be
// newer than the configuration, so that the flow continues by its tag, or may
// have been dropped. Only a configuration that is later than the flow's first
// packet tells.

namespace rosemarydrum {

bool forwarder::knows_routes_at(time_point when) const {
  return routes_confirmed_ >= when + confirmation_margin;
}

bool forwarder::was_route_dropped(const open_flow& flow) const {
  return flow.had_route || knows_routes_at(flow.began);
}

void forwarder::await_route(open_flow& flow) {
  if (!flow.awaits_route) {
    flow.awaits_route = true;
    flows_without_route_.push_back({flow.began, flow.ends, flow.began});
  }
}

void forwarder::end_flows_without_route(time_point now) {
  while (!flows_without_route_.empty() &&
         knows_routes_at(flows_without_route_.front().due)) {
    const auto next = flows_without_route_.front();
    flows_without_route_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow == nullptr || flow->began != next.sent_at) {
      continue;
    }
    flow->awaits_route = false;
    if (flow->stage != flow_stage::open ||
        routes_.find(next.ends.service) != nullptr) {
      continue;
    }
    flow_packet without_packet;
    without_packet.flow = next.ends;
    refuse(without_packet, verdict_reason::no_route, now);
    resets_.push_back({next.ends, flow->progress.acknowledged()});
    set_load(*flow, flow_load::none);
    flows_.erase(next.ends);
  }
}

}  // namespace rosemarydrum
