#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

// Resets flows whose upstreams have stopped answering.

namespace rosemarydrum {

void forwarder::on_retransmission(open_flow& flow,
                                  const answer_progress& previous,
                                  time_point now) {
  // Of several packets, a later one than the lost one may be the latest.
  const auto sent = std::min<time_point>(previous.last_data_at(),
                                         now - min_retransmission_time);
  stalls_.on_lost(flow.upstream, sent, now);
  repeated_.push_back(flow.ends);
  unreported_losses_.push_back(
      {now + lost_data_report_delay, flow.upstream, sent});
  observer_.on_flow_stalled(flow, directory_.at(flow.upstream), now);
}

// Other members cannot tell whether the link of this machine loses packets.
void forwarder::report_lost_data(time_point now) {
  while (!unreported_losses_.empty() && unreported_losses_.front().due <= now) {
    const auto [due, upstream, sent] = unreported_losses_.front();
    unreported_losses_.pop_front();
    if (stalls_.losses(upstream) > 0 && stalls_.is_telling(sent) &&
        stalls_.is_conclusive(now)) {
      sightings_.push_back({upstream, sighting_kind::lost_data, sent});
      watch_for_answer(upstream, sent, now);
    }
  }
}

// Called when all received packets have been read, which may include answers.
void forwarder::check_stalls(time_point now) {
  report_lost_data(now);
  for (const auto upstream : stalls_.take_pending(now)) {
    if (stalls_.judge(upstream, needs_stall_reporter(upstream), now)) {
      on_unresponsive(upstream, now);
    }
  }
  for (const auto& ends : std::exchange(repeated_, {})) {
    const auto* flow = flows_.find(ends);
    if (flow != nullptr && flow->progress.is_waiting() && may_reset(*flow) &&
        stalls_.is_unresponsive(flow->upstream, now)) {
      reset_flow(*flow, now);
      flows_.erase(ends);
    }
  }
}

void forwarder::on_sighting(const reported_sighting& reported, time_point now) {
  const auto& [key, kind, age, open_time] = reported.sighting;
  const auto index = directory_.find(key);
  if (!index) {
    return;
  }
  const auto at = now - age;
  if (kind == sighting_kind::answer) {
    stalls_.on_alive(*index, at, now);
    placement_.on_alive(*index, at);
    placement_.on_flow_answered(*index, at - open_time, at);
    return;
  }
  if (kind == sighting_kind::unanswered_handshake) {
    suspect_restart(*index, reported.reporter, at, now);
    watch_for_earlier_flow(*index, at, now);
    return;
  }
  stalls_.on_reported_lost(*index, reported.reporter, at, now);
  watch_for_answer(*index, at, now);
}

void forwarder::watch_for_answer(upstream_index upstream, time_point sent,
                                 time_point now) {
  auto& watch = watched_[upstream];
  watch.after = sent;
  watch.until = now + sighting_watch_time;
  const auto answered = stalls_.answered_at(upstream);
  tell_answer(upstream, answered, answered);
}

void forwarder::watch_for_earlier_flow(upstream_index upstream,
                                       time_point unanswered, time_point now) {
  watched_[upstream].opened_before = unanswered;
  watch_for_answer(upstream, unanswered + answer_transit_time, now);
}

// Members whose callers wait for the upstream take it for dead otherwise, or
// for one that was restarted.
void forwarder::tell_answer(upstream_index upstream, time_point opened,
                            time_point answered) {
  const auto found = watched_.find(upstream);
  if (found == watched_.end()) {
    return;
  }
  auto& [after, opened_before, until] = found->second;
  if (answered > until) {
    watched_.erase(found);
    return;
  }
  const bool is_earlier_flow = opened_before && opened < *opened_before &&
                               answered > *opened_before + answer_transit_time;
  if (is_earlier_flow || (after && answered > *after)) {
    sightings_.push_back(
        {upstream, sighting_kind::answer, answered, answered - opened});
    after.reset();
  }
  if (is_earlier_flow) {
    opened_before.reset();
  }
}

std::vector<upstream_sighting> forwarder::take_sightings(time_point now) {
  std::vector<upstream_sighting> taken;
  for (const auto& each : std::exchange(sightings_, {})) {
    taken.push_back({directory_.at(each.upstream).record.key, each.kind,
                     std::chrono::duration_cast<milliseconds>(now - each.at),
                     std::chrono::duration_cast<milliseconds>(each.open_time)});
  }
  return taken;
}

// The way to another data centre may be cut for this process alone. Other
// members, if there are any, then get answers from there.
bool forwarder::needs_stall_reporter(upstream_index upstream) const {
  return data_centre_peers_ > 0 &&
         directory_.at(upstream).record.data_centre != settings_.data_centre;
}

void forwarder::on_unresponsive(upstream_index upstream, time_point now) {
  placement_.on_unresponsive(upstream, now);
  observer_.on_unresponsive(directory_.at(upstream), stalls_.losses(upstream),
                            now);
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

// Other flows may have moved to another forwarder. Those that have not are
// reset with their next request.
void forwarder::reset_flows_of(upstream_index upstream, time_point now) {
  flows_.erase_if([&](const open_flow& flow) {
    const bool resets = flow.upstream == upstream && may_reset(flow) &&
                        now - flow.last_packet <= max_carried_time;
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
