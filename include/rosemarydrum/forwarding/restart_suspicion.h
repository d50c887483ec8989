#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Whether an upstream may have been restarted since its entry was read. A
/// restarted upstream is cold, and its entry says so only when the store has
/// it.
class restart_suspicion {
 public:
  /// A handshake sent at `sent` was not answered. The upstream is cold for
  /// `warmup` after a start; 0: it never is.
  void on_unanswered(time_point sent, duration warmup);
  /// The upstream has answered data that was sent at `sent`, on a flow that was
  /// opened at `opened`.
  void on_answer(time_point opened, time_point sent);
  /// Whether the upstream may be cold. The known entries are those that the
  /// store held at `confirmed`; after an outage of the store it holds those of
  /// all upstreams again at `complete`.
  bool holds(time_point confirmed, time_point complete, time_point now) const;

 private:
  /// When the latest unanswered handshake was sent.
  time_point unanswered_at_;
  time_point lapses_at_;
};

}  // namespace rosemarydrum
