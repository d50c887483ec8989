#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "rosemarydrum/forwarding/delivery_record.h"
#include "rosemarydrum/forwarding/loss_estimate.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Lost transmissions without an answer in between count together for this
/// long.
inline constexpr milliseconds lost_transmission_memory{3000};
/// An upstream stays unresponsive for this long after its latest lost
/// transmission.
inline constexpr milliseconds unresponsive_time{1000};
/// Transmissions that are closer together may be lost for one reason, such as a
/// full queue. A dead upstream loses them at `min_loss_times` different times.
inline constexpr milliseconds independent_loss_interval{150};
inline constexpr std::size_t min_loss_times = 3;
/// If callers of this many upstreams retransmit within
/// `joint_retransmission_window`, the cause may be a full link. No upstream is
/// judged for `judgement_pause`, in which callers of live ones get answers. The
/// next pause begins after `judgement_pause_interval` at the earliest.
inline constexpr std::size_t joint_retransmissions = 3;
inline constexpr milliseconds joint_retransmission_window{150};
inline constexpr milliseconds judgement_pause{500};
inline constexpr milliseconds judgement_pause_interval{2000};

/// Tells upstreams that have stopped answering from lost packets. Upstreams
/// acknowledge data at once, also while they are slow or full, and callers send
/// it again if they have no acknowledgement. A retransmission therefore shows
/// that the transmission before it was lost, or its acknowledgement; it says
/// nothing of the retransmission itself, whose answer takes as long as the
/// upstream works on the request. An upstream is unresponsive if transmissions
/// to it were lost at several times, others of this process were delivered
/// meanwhile, and nobody has had an answer of it since the first. How many must
/// be lost follows from how often packets to live upstreams, and to this one,
/// were lost lately. Losses that other members report count only together with
/// one of this process. An upstream
/// `needs_reporter` if the way to it may be cut for this process alone.
class stall_detector {
 public:
  /// A caller has begun a request.
  void on_request(time_point now) { loss_.on_request(now); }
  /// A caller has sent data to the upstream again that it had sent at `sent`.
  /// Nothing is concluded before `take_pending()`.
  void on_lost(upstream_index upstream, time_point sent, time_point now);
  /// As `on_lost`, for a caller of another member.
  void on_reported_lost(upstream_index upstream, incarnation reporter,
                        time_point sent, time_point now);
  /// A caller acknowledged an answer or a handshake of the upstream. Returns
  /// true if the upstream was unresponsive.
  bool on_answer(upstream_index upstream, time_point now) {
    entry_of(upstream).answered_here_at = now;
    return on_alive(upstream, now, now);
  }
  /// Data that was sent at `sent`, and only then, has been answered.
  void on_delivered(time_point sent) { delivered_.on_delivered(sent); }
  /// The upstream answered a caller of any member at `answered`.
  bool on_alive(upstream_index upstream, time_point answered, time_point now);
  /// When the upstream last answered a caller of this process.
  time_point answered_at(upstream_index upstream) const;
  /// Whether the loss of data that was sent at `sent` may be the upstream's
  /// fault: this process was not cut off then.
  bool is_telling(time_point sent) const {
    return delivered_.has_delivered_after(sent);
  }

  /// Whether a handshake that was sent at `sent` and not answered by now may be
  /// the upstream's fault.
  bool is_telling_handshake(time_point sent, time_point now) const {
    return delivered_.has_delivered_around(sent) && is_conclusive(now);
  }

  /// Returns the upstreams with new losses, to be judged now; none during a
  /// pause.
  std::vector<upstream_index> take_pending(time_point now);
  /// Returns true if the known losses make the upstream unresponsive now and it
  /// was not before.
  bool judge(upstream_index upstream, bool needs_reporter, time_point now);
  /// Whether a loss seen now says more of its upstream than of the network.
  bool is_conclusive(time_point now) const;
  bool is_unresponsive(upstream_index upstream, time_point now) const;
  /// Number of lost transmissions since the upstream answered last.
  std::size_t losses(upstream_index upstream) const;

  /// Data sent before `now` no longer counts, because this process did not run
  /// or was cut off.
  void restart(time_point now);
  const loss_estimate& loss() const { return loss_; }
  void forget(upstream_index upstream);

 private:
  struct lost_transmission {
    time_point sent;
    /// 0: this process.
    incarnation reporter{};
  };

  struct entry {
    /// When it last answered a caller of any member, and of this one.
    time_point answered_at;
    time_point answered_here_at;
    /// Since the upstream answered last, in the order of their detection.
    std::vector<lost_transmission> lost;
    /// Losses of this process after which the upstream answered, since
    /// `live_losses_since`.
    std::size_t live_losses = 0;
    time_point live_losses_since;
    time_point unresponsive_until;
  };

  entry& entry_of(upstream_index upstream);
  const entry* find(upstream_index upstream) const;
  void add_loss(upstream_index upstream, const lost_transmission& lost,
                time_point now);
  void on_live_losses(entry& known, std::size_t losses, time_point now);
  bool is_proven(const entry& known, bool needs_reporter, time_point now) const;
  void join_retransmission(upstream_index upstream, time_point now);

  std::vector<entry> entries_;
  loss_estimate loss_;
  delivery_record delivered_;
  struct retransmission {
    time_point at;
    upstream_index upstream;
  };
  /// The latest one of each upstream within `joint_retransmission_window`.
  std::deque<retransmission> retransmissions_;
  /// Upstreams with losses that have not been judged.
  std::vector<upstream_index> pending_;
  time_point paused_until_;
  time_point next_pause_;
  time_point counted_since_;
};

}  // namespace rosemarydrum
