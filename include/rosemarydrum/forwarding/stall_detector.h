#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "rosemarydrum/forwarding/loss_estimate.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Further apart, two stalls do not count together. Without a further stall, an
/// upstream counts as responsive again after this time.
inline constexpr milliseconds stall_memory{1000};
/// If callers of this many upstreams retransmit within
/// `joint_retransmission_window`, the cause may be a full link. No upstream is
/// judged for `judgement_pause`, in which callers of live ones get answers. The
/// next pause begins after `judgement_pause_interval` at the earliest.
inline constexpr std::size_t joint_retransmissions = 3;
inline constexpr milliseconds joint_retransmission_window{150};
inline constexpr milliseconds judgement_pause{500};
inline constexpr milliseconds judgement_pause_interval{2000};

/// Tells upstreams that have stopped answering from lost packets. A flow stalls
/// when its caller has retransmitted data of a request and still has no answer.
/// Upstreams acknowledge data at once, also while they are slow or full, but a
/// full link on the way loses and delays packets. The stalls that are needed to
/// call an upstream unresponsive therefore follow from how many requests to
/// live upstreams had to be sent again lately. Stalls that other members report
/// count only together with one of this process. An upstream `needs_reporter`
/// if the way to it may be cut for this process alone.
class stall_detector {
 public:
  /// A caller has begun a request.
  void on_request(time_point now) { loss_.on_request(now); }
  /// A caller has sent data of a request to the upstream again.
  void on_retransmission(upstream_index upstream, time_point now);
  /// A request has been answered whose data was sent first at `sent`, and then
  /// again.
  void on_answered_retransmission(time_point sent, time_point now);
  /// A caller acknowledged an answer or a handshake of the upstream. Returns
  /// true if the upstream was unresponsive.
  bool on_answer(upstream_index upstream, time_point now);
  /// Whether any upstream has answered a request or handshake after `time`. If
  /// not, this process may be cut off.
  bool has_answered_since(time_point time) const { return answered_at_ > time; }
  /// A flow of the upstream has stalled whose request was sent at `sent`.
  /// Returns true if this makes the upstream unresponsive.
  bool on_stalled(upstream_index upstream, time_point sent, bool needs_reporter,
                  time_point now);
  /// As `on_stalled`, for a flow of another member.
  bool on_reported(upstream_index upstream, incarnation reporter,
                   bool needs_reporter, time_point now);
  /// Returns the upstreams whose flows stalled during a pause that has ended
  /// and that have not answered since; they are to be judged now.
  std::vector<upstream_index> take_postponed(time_point now);
  /// Whether the known stalls make the upstream unresponsive now.
  bool judge(upstream_index upstream, bool needs_reporter, time_point now);
  /// Whether a stall seen now says more of its upstream than of the network.
  bool is_conclusive(time_point now) const;
  bool is_unresponsive(upstream_index upstream, time_point now) const;

  /// Requests sent before `now` no longer count, because this process did not
  /// run or was cut off.
  void restart(time_point now);
  const loss_estimate& loss() const { return loss_; }
  void forget(upstream_index upstream);

 private:
  struct entry {
    time_point answered_at;
    /// Start of the period in which flows have stalled.
    time_point first_stall_at;
    time_point last_stall_at;
    /// Stalled flows of this process.
    std::size_t stalled = 0;
    std::vector<incarnation> reporters;
    time_point unresponsive_until;
  };

  entry& entry_of(upstream_index upstream);
  static void begin_period(entry& known, time_point now);
  bool is_proven(const entry& known, time_point now) const;

  std::vector<entry> entries_;
  loss_estimate loss_;
  struct retransmission {
    time_point at;
    upstream_index upstream;
  };
  /// The latest one of each upstream within `joint_retransmission_window`.
  std::deque<retransmission> retransmissions_;
  /// Upstreams with stalls during the pause.
  std::vector<upstream_index> postponed_;
  time_point paused_until_;
  time_point next_pause_;
  /// When any upstream answered last.
  time_point answered_at_;
  time_point counted_since_;
};

}  // namespace rosemarydrum
