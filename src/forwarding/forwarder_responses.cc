#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

// Detects failed requests from the response bytes that callers acknowledge.

namespace rosemarydrum {

void forwarder::check_response(open_flow& flow, time_point now) {
  if (flow.first_data_at == time_point{}) {
    return;
  }
  placement_.on_flow_time(flow.upstream, now - flow.first_data_at, now);
  if (flow.counted_as_failed) {
    return;
  }
  auto& baseline = response_baselines_[flow.route];
  const auto response_bytes = flow.answer_bytes();
  if (response_bytes == 0 || baseline.is_short(response_bytes)) {
    record_failure(flow, now);
  }
  if (response_bytes > 0) {
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
        flow->first_data_at == next.sent_at && flow->answer_bytes() == 0) {
      record_failure(*flow, now);
    }
  }
}

void forwarder::record_failure(open_flow& flow, time_point now) {
  flow.counted_as_failed = true;
  const auto& known = directory_.at(flow.upstream);
  observer_.on_failed(flow, known, response_baselines_[flow.route].quartile(),
                      now);
  const auto key = known.record.key;
  const auto entry =
      std::find_if(failures_.begin(), failures_.end(),
                   [key](const auto& each) { return each.upstream == key; });
  if (entry == failures_.end()) {
    failures_.push_back({key, 1});
  } else {
    ++entry->count;
  }
  on_failures(flow.upstream, 1, now);
}

void forwarder::on_failures(upstream_index upstream, std::uint32_t count,
                            time_point now) {
  if (placement_.on_failures(upstream, count, now)) {
    observer_.on_ejected(directory_.at(upstream),
                         placement_.failures(upstream, now), now);
  }
}

std::vector<upstream_failures> forwarder::take_failures() {
  return std::exchange(failures_, {});
}

}  // namespace rosemarydrum
