#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Backoff after an unanswered handshake. It doubles with each further one in a
/// row, up to the maximum.
inline constexpr milliseconds min_handshake_backoff{300};
inline constexpr milliseconds max_handshake_backoff{2400};
/// Unanswered handshakes in a row after which an upstream is silent. It may
/// have been restarted, so it gets few flows at first when it answers again.
inline constexpr int silent_after_unanswered = 2;
/// One unanswered handshake suffices if the last answered one was sent longer
/// ago than this.
inline constexpr milliseconds recent_answer_age{1000};

/// Health of an upstream according to the handshakes that this process sent to
/// it. The upstream's entry in the store does not cover the network path.
class handshake_health {
 public:
  /// Records that the handshake sent at `sent` was answered. Returns true if
  /// the upstream had been silent.
  bool on_answered(time_point sent);
  /// Records that the handshake sent at `sent` was not answered in time.
  /// Returns true if this makes the upstream silent.
  bool on_unanswered(time_point sent, time_point now);
  /// Records that open flows of the upstream get no answers.
  void on_unresponsive(time_point now);
  void reset();

  /// Whether new flows should go to other upstreams.
  bool is_backed_off(time_point now) const { return now < backoff_until_; }
  bool is_silent() const { return silent_; }
  /// Unanswered handshakes since the last answer.
  int unanswered() const { return unanswered_; }

 private:
  /// When the latest of the answered handshakes was sent.
  time_point last_answered_sent_;
  time_point backoff_until_;
  int unanswered_ = 0;
  bool silent_ = false;
};

}  // namespace rosemarydrum
