#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

/// What callers' acknowledgements show of the answers of upstreams.
namespace rosemarydrum {

void forwarder::end_answered(open_flow& flow, time_point now) {
  if (flow.first_data_at == time_point{}) {
    return;
  }
  placement_.on_flow_time(flow.upstream, now - flow.first_data_at, now);
  if (flow.judged) {
    return;
  }
  auto& usual = baselines_[flow.route];
  const auto answered = flow.answer_bytes();
  if (answered == 0 || usual.is_short(answered)) {
    note_failure(flow, now);
  }
  if (answered > 0) {
    usual.add(answered);
  }
}

void forwarder::check_answers(time_point now) {
  while (!answers_.empty() && answers_.front().due <= now) {
    const auto next = answers_.front();
    answers_.pop_front();
    auto* flow = flows_.find(next.ends);
    if (flow != nullptr && flow->stage == flow_stage::open &&
        flow->first_data_at == next.sent_at && flow->answer_bytes() == 0) {
      note_failure(*flow, now);
    }
  }
}

void forwarder::note_failure(open_flow& flow, time_point now) {
  flow.judged = true;
  const auto& known = directory_.at(flow.upstream);
  observer_.on_failed(flow, known, baselines_[flow.route].quartile(), now);
  const auto key = known.record.key;
  const auto told =
      std::find_if(failures_.begin(), failures_.end(),
                   [key](const auto& each) { return each.upstream == key; });
  if (told == failures_.end()) {
    failures_.push_back({key, 1});
  } else {
    ++told->count;
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
