#include "rosemarydrum/forwarding/restart_suspicion.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// An upstream that starts writes its entry within this time.
constexpr milliseconds entry_write_time{500};
/// An upstream that stays down leaves further handshakes unanswered within this
/// time.
constexpr milliseconds max_probe_interval{3000};

}  // namespace

void restart_suspicion::on_unanswered(time_point sent, duration warmup) {
  if (warmup > duration(0)) {
    unanswered_at_ = std::max(unanswered_at_, sent);
    lapses_at_ = unanswered_at_ + max_probe_interval + warmup;
  }
}

// After a restart it would not hold the flow.
void restart_suspicion::on_answer(time_point opened, time_point sent) {
  if (opened < unanswered_at_ && sent > unanswered_at_) {
    lapses_at_ = {};
  }
}

bool restart_suspicion::holds(time_point confirmed, time_point complete,
                              time_point now) const {
  const bool is_listed =
      confirmed >= unanswered_at_ + entry_write_time && confirmed >= complete;
  return now < lapses_at_ && !is_listed;
}

}  // namespace rosemarydrum
