#include "rosemarydrum/forwarding/handshake_health.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {

bool handshake_health::on_answered(time_point sent) {
  answered_ = std::max(answered_, sent);
  unanswered_ = 0;
  avoided_until_ = {};
  return std::exchange(silent_, false);
}

bool handshake_health::on_unanswered(time_point sent, time_point now) {
  // A later one was answered: this one was lost on its way.
  if (sent <= answered_) {
    return false;
  }
  duration avoidance = first_avoidance;
  for (int i = 0; i < unanswered_ && avoidance < longest_avoidance; ++i) {
    avoidance *= 2;
  }
  ++unanswered_;
  avoided_until_ = std::max(
      avoided_until_, now + std::min<duration>(avoidance, longest_avoidance));
  const bool was_silent =
      std::exchange(silent_, silent_ || unanswered_ >= silent_handshakes ||
                                 now - answered_ > recent_answer);
  return !was_silent && silent_;
}

void handshake_health::reset() { *this = {}; }

}  // namespace rosemarydrum
