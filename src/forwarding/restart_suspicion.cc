#include "rosemarydrum/forwarding/restart_suspicion.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// A full upstream takes no flows, but answers on earlier ones within this
/// time.
constexpr milliseconds earlier_answer_time{100};
/// A member notices an unanswered handshake and tells the others in this time.
/// A process that starts may be told later.
constexpr milliseconds max_report_time{250};
/// An upstream that starts writes its entry within this time, and at the latest
/// with the next regular one.
constexpr milliseconds entry_write_time{500};
constexpr milliseconds max_entry_write_time{2000};
/// Handshakes that were lost further apart show that the upstream was down.
constexpr milliseconds min_down_time{100};
/// An upstream that stays down leaves further handshakes unanswered within this
/// time.
constexpr milliseconds max_probe_interval{3000};

}  // namespace

bool restart_suspicion::on_unanswered(time_point sent, duration warmup,
                                      time_point now) {
  if (warmup <= duration(0)) {
    return false;
  }
  const bool is_new = has_answered() || now >= lapses_at_;
  if (is_new) {
    first_unanswered_at_ = sent;
    begins_at_ =
        std::min<time_point>(now, sent + max_report_time) + earlier_answer_time;
  }
  first_unanswered_at_ = std::min(first_unanswered_at_, sent);
  unanswered_at_ = std::max(unanswered_at_, sent);
  lapses_at_ = unanswered_at_ + max_probe_interval + warmup;
  return is_new;
}

void restart_suspicion::on_alive(time_point answered) {
  if (!has_answered()) {
    answered_at_ = answered;
  }
}

// After a restart it would not hold the flow.
void restart_suspicion::on_flow_answered(time_point opened,
                                         time_point answered) {
  if (opened < first_unanswered_at_ &&
      answered > unanswered_at_ + answer_transit_time) {
    lapses_at_ = {};
  }
}

bool restart_suspicion::holds(time_point confirmed, time_point complete,
                              time_point now) const {
  const bool is_listed = has_answered() &&
                         confirmed >= answered_at_ + entry_time() &&
                         confirmed >= complete;
  return now >= begins_at_ && now < lapses_at_ && !is_listed;
}

bool restart_suspicion::has_answered() const {
  return answered_at_ > unanswered_at_ + answer_transit_time;
}

duration restart_suspicion::entry_time() const {
  return unanswered_at_ - first_unanswered_at_ >= min_down_time
             ? max_entry_write_time
             : entry_write_time;
}

}  // namespace rosemarydrum
