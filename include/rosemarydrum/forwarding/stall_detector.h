#pragma once

#include <cstdint>
#include <vector>

#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Stalled flows of an upstream without an answer in between after which it
/// counts as unresponsive. A single packet may be lost in the network.
inline constexpr std::size_t stalls_of_unresponsive = 2;
/// Further apart, two stalls do not count together. Without a further stall, an
/// upstream counts as responsive again after this time.
inline constexpr milliseconds stall_memory{1000};

/// Tells upstreams that have stopped answering from lost packets. A flow stalls
/// when its caller has retransmitted data of a request and still has no answer.
/// Upstreams acknowledge data at once, also while they are slow or full. Stalls
/// that other members report count only together with one of this process. An
/// upstream `needs_reporter` if the way to it may be cut for this process
/// alone.
class stall_detector {
 public:
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
  bool is_unresponsive(upstream_index upstream, time_point now) const;

  /// Requests sent before `now` no longer count, because this process did not
  /// run or was cut off.
  void restart(time_point now);
  void forget(upstream_index upstream);

 private:
  struct entry {
    time_point answered_at;
    /// Start of the period in which flows have stalled.
    time_point first_stall_at;
    /// Stalled flows of this process.
    std::size_t stalled = 0;
    std::vector<incarnation> reporters;
    time_point unresponsive_until;
  };

  entry& entry_of(upstream_index upstream);
  static void begin_period(entry& known, time_point now);
  static bool update(entry& known, bool needs_reporter, time_point now);

  std::vector<entry> entries_;
  /// When any upstream answered last.
  time_point answered_at_;
  time_point counted_since_;
};

}  // namespace rosemarydrum
