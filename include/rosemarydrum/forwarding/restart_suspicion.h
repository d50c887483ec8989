#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// An answer that is seen this soon after an unanswered handshake was sent may
/// be older than that.
inline constexpr milliseconds answer_transit_time{50};

/// Whether an upstream may have been restarted since its entry was read. A
/// restarted upstream is cold, and its entry says so only when the store has
/// it.
class restart_suspicion {
 public:
  /// A handshake of any member that was sent at `sent` was not answered. The
  /// upstream is cold for `warmup` after a start; 0: it never is. Returns true
  /// if it was not suspected before.
  bool on_unanswered(time_point sent, duration warmup, time_point now);
  /// The upstream answered a caller of any member at `answered`.
  void on_alive(time_point answered);
  /// The upstream has answered at `answered` on a flow that was opened at
  /// `opened`.
  void on_flow_answered(time_point opened, time_point answered);
  /// Whether the upstream may be cold. The known entries are those that the
  /// store held at `confirmed`; after an outage of the store it holds those of
  /// all upstreams again at `complete`.
  bool holds(time_point confirmed, time_point complete, time_point now) const;

 private:
  bool has_answered() const;
  /// Time from an answer to the entry of an upstream that has started before.
  duration entry_time() const;

  /// When the first and the latest handshake were sent that were not answered,
  /// without an answer in between.
  time_point first_unanswered_at_;
  time_point unanswered_at_;
  /// The first answer since.
  time_point answered_at_;
  time_point begins_at_;
  time_point lapses_at_;
};

}  // namespace rosemarydrum
