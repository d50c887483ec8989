#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

// Resets flows whose upstreams have stopped answering.

namespace rosemarydrum {

void forwarder::check_stalls(time_point now) {
  for (const auto upstream : stalls_.take_postponed(now)) {
    report_stall(upstream, now);
    if (stalls_.judge(upstream, needs_stall_reporter(upstream), now)) {
      on_unresponsive(upstream, now);
    }
  }
  while (!stall_deadlines_.empty() && stall_deadlines_.front().due <= now) {
    const auto next = stall_deadlines_.front();
    stall_deadlines_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow != nullptr && flow->progress.is_waiting() &&
        flow->progress.last_data_at() == next.sent_at) {
      record_stall(*flow, now);
    }
  }
}

void forwarder::record_stall(open_flow& flow, time_point now) {
  const auto ends = flow.ends;
  const auto upstream = flow.upstream;
  report_stall(upstream, now);
  observer_.on_flow_stalled(flow, directory_.at(upstream), now);
  if (stalls_.on_stalled(upstream, flow.progress.sent_at(),
                         needs_stall_reporter(upstream), now)) {
    on_unresponsive(upstream, now);
  }
  if (!stalls_.is_unresponsive(upstream, now)) {
    return;
  }
  if (const auto* left = flows_.find(ends);
      left != nullptr && may_reset(*left)) {
    reset_flow(*left, now);
    flows_.erase(ends);
  }
}

// Other members cannot tell whether the link of this machine loses packets.
void forwarder::report_stall(upstream_index upstream, time_point now) {
  if (stalls_.is_conclusive(now)) {
    ++failures_of(upstream).stalled;
  }
}

// The way to another data centre may be cut for this process alone. Other
// members, if there are any, then get answers from there.
bool forwarder::needs_stall_reporter(upstream_index upstream) const {
  return data_centre_peers_ > 0 &&
         directory_.at(upstream).record.data_centre != settings_.data_centre;
}

void forwarder::on_unresponsive(upstream_index upstream, time_point now) {
  placement_.on_unresponsive(upstream, now);
  observer_.on_unresponsive(directory_.at(upstream), now);
  reset_flows_of(upstream, now);
}

// A request that must run at most once is left to its caller's time limit: it
// may be running, and its caller may not send it again.
bool forwarder::may_reset(const open_flow& flow) const {
  return flow.stage == flow_stage::open &&
         (!flow.progress.is_waiting() || routes_.is_repeatable(flow.ends));
}

void forwarder::reset_flow(const open_flow& flow, time_point now) {
  resets_.push_back({flow.ends, flow.progress.acknowledged()});
  observer_.on_reset(flow, directory_.at(flow.upstream), now);
  placement_.on_load(flow.upstream, flow.load, flow_load::none);
}

void forwarder::reset_flows_of(upstream_index upstream, time_point now) {
  flows_.erase_if([&](const open_flow& flow) {
    const bool resets = flow.upstream == upstream && may_reset(flow);
    if (resets) {
      reset_flow(flow, now);
    }
    return resets;
  });
}

std::vector<flow_reset> forwarder::take_resets() {
  return std::exchange(resets_, {});
}

}  // namespace rosemarydrum
