#include "rosemarydrum/forwarding/handshake_health.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {

bool handshake_health::on_answered(time_point sent) {
  last_answered_sent_ = std::max(last_answered_sent_, sent);
  unanswered_ = 0;
  backoff_until_ = {};
  return std::exchange(silent_, false);
}

bool handshake_health::on_unanswered(time_point sent, time_point now) {
  // A handshake sent later was answered, so this one was lost in the network.
  if (sent <= last_answered_sent_) {
    return false;
  }
  duration backoff = min_handshake_backoff;
  for (int i = 0; i < unanswered_ && backoff < max_handshake_backoff; ++i) {
    backoff *= 2;
  }
  ++unanswered_;
  backoff_until_ = std::max(
      backoff_until_, now + std::min<duration>(backoff, max_handshake_backoff));
  const bool was_silent = std::exchange(
      silent_, silent_ || unanswered_ >= silent_after_unanswered ||
                   now - last_answered_sent_ > recent_answer_age);
  return !was_silent && silent_;
}

void handshake_health::on_unresponsive(time_point now) {
  silent_ = true;
  backoff_until_ =
      std::max<time_point>(backoff_until_, now + min_handshake_backoff);
}

void handshake_health::reset() { *this = {}; }

}  // namespace rosemarydrum
