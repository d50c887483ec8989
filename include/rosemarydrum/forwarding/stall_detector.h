#pragma once

#include <cstdint>
#include <vector>

#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Flows of an upstream that must stall without an answer in between before it
/// counts as unresponsive. A single packet may be lost in the network.
inline constexpr std::uint32_t stalls_of_unresponsive = 2;
/// Further apart, two stalls do not count together. Without a further stall, an
/// upstream counts as responsive again after this time.
inline constexpr milliseconds stall_memory{1000};

/// Tells upstreams that have stopped answering from lost packets. A flow stalls
/// when its caller has retransmitted data of a request and still has no answer.
/// Upstreams acknowledge data at once, also while they are slow or full.
class stall_detector {
 public:
  /// A caller acknowledged an answer or a handshake of the upstream. Returns
  /// true if the upstream was unresponsive.
  bool on_answer(upstream_index upstream, time_point now);
  /// `flows` flows of the upstream have stalled whose requests were sent at
  /// `sent` or later. Returns true if this makes the upstream unresponsive,
  /// which takes `threshold` stalled flows.
  bool on_stalled(upstream_index upstream, std::uint32_t flows, time_point sent,
                  std::uint32_t threshold, time_point now);
  bool is_unresponsive(upstream_index upstream, time_point now) const;

  /// Requests sent before `now` no longer count, because this process did not
  /// run or was cut off.
  void restart(time_point now);
  void forget(upstream_index upstream);

 private:
  struct entry {
    time_point answered_at;
    /// Start of the period in which `stalled` flows have stalled.
    time_point first_stall_at;
    std::uint32_t stalled = 0;
    time_point unresponsive_until;
  };

  entry& entry_of(upstream_index upstream);

  std::vector<entry> entries_;
  /// When any upstream answered last.
  time_point answered_at_;
  time_point counted_since_;
};

}  // namespace rosemarydrum
