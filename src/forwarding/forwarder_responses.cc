#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

// Follows requests and their responses by the bytes that callers acknowledge.

namespace rosemarydrum {

void forwarder::on_progress(open_flow& flow, const flow_packet& packet,
                            time_point now) {
  const auto previous = flow.progress;
  switch (flow.progress.on_packet(packet, now)) {
    case progress_event::request:
      if (flow.was_placed_here() && previous.requests() > 0) {
        // The packet may acknowledge the rest of the previous response.
        const auto missing =
            flow.progress.acknowledged() - previous.acknowledged();
        check_response(flow, previous.answer_bytes() + missing,
                       previous.answered_at() - previous.request_began(), now);
      }
      on_request(flow, packet, now);
      return;
    case progress_event::retransmission:
      on_retransmission(flow, previous, now);
      return;
    case progress_event::further_data:
      on_upstream_alive(flow, now);
      return;
    case progress_event::answer:
      if (previous.is_waiting() && !previous.was_repeated()) {
        stalls_.on_delivered(previous.sent_at());
      }
      on_answer(flow, now);
      return;
    case progress_event::none:
      return;
  }
}

void forwarder::on_request(open_flow& flow, const flow_packet& packet,
                           time_point now) {
  flow.request = codec_.request_id(packet.data);
  flow.counted_as_failed = false;
  stalls_.on_request(now);
  if (flow.stage == flow_stage::open) {
    set_load(flow, flow_load::active);
  }
  if (!flow.was_placed_here()) {
    return;
  }
  response_deadlines_.push_back({now + first_response_timeout, flow.ends, now});
  if (flow.progress.requests() == 1) {
    flow.first_data_at = now;
    observer_.on_opened(flow, directory_.at(flow.upstream), now);
  }
}

void forwarder::on_upstream_alive(const open_flow& flow, time_point now) {
  const auto upstream = flow.upstream;
  if (stalls_.on_answer(upstream, now)) {
    placement_.on_responsive(upstream, now);
  }
  placement_.on_alive(upstream, now);
  placement_.on_flow_answered(upstream, flow.opened_at, now);
  tell_answer(upstream, flow.opened_at, now);
}

void forwarder::on_answer(open_flow& flow, time_point now) {
  on_upstream_alive(flow, now);
  if (flow.stage == flow_stage::open) {
    set_load(flow, flow_load::active);
    check_idle_later(flow, now);
  }
}

void forwarder::check_response(open_flow& flow, std::uint32_t response_bytes,
                               duration took, time_point now) {
  auto& baseline = response_baselines_[flow.route];
  const bool is_whole =
      response_bytes > 0 && !baseline.is_short(response_bytes);
  if (took > duration(0)) {
    if (is_whole && !flow.counted_as_failed) {
      placement_.on_whole_answer(flow.upstream, took, now);
    }
    placement_.on_flow_time(flow.upstream, took, now);
  }
  if (flow.counted_as_failed) {
    return;
  }
  if (!is_whole) {
    record_failure(flow, now);
  }
  if (response_bytes > 0) {
    overload_.on_answer(directory_.at(flow.upstream).record.service,
                        flow.priority, flow.upstream, !is_whole, now);
    baseline.add(response_bytes);
  }
}

void forwarder::check_response_timeouts(time_point now) {
  while (!response_deadlines_.empty() &&
         response_deadlines_.front().due <= now) {
    const auto next = response_deadlines_.front();
    response_deadlines_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow != nullptr && flow->stage == flow_stage::open &&
        flow->progress.request_began() == next.sent_at &&
        flow->progress.answer_bytes() == 0) {
      record_failure(*flow, now);
    }
  }
}

void forwarder::record_failure(open_flow& flow, time_point now) {
  flow.counted_as_failed = true;
  observer_.on_failed(flow, directory_.at(flow.upstream),
                      response_baselines_[flow.route].quartile(), now);
  ++failures_of(flow.upstream).count;
  on_failures(flow.upstream, 1, now);
}

upstream_failures& forwarder::failures_of(upstream_index upstream) {
  const auto key = directory_.at(upstream).record.key;
  const auto entry =
      std::find_if(failures_.begin(), failures_.end(),
                   [key](const auto& each) { return each.upstream == key; });
  return entry == failures_.end()
             ? failures_.emplace_back(upstream_failures{.upstream = key})
             : *entry;
}

void forwarder::on_failures(upstream_index upstream, std::uint32_t count,
                            time_point now) {
  if (count > 0 && placement_.on_failures(upstream, count, now)) {
    observer_.on_ejected(directory_.at(upstream),
                         placement_.failures(upstream, now), now);
  }
}

std::vector<upstream_failures> forwarder::take_failures() {
  return std::exchange(failures_, {});
}

}  // namespace rosemarydrum
