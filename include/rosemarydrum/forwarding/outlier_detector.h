#pragma once

#include <span>
#include <vector>

#include "rosemarydrum/forwarding/decaying_count.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// At most one in this many upstreams of a service is ejected at a time. If
/// more fail, the cause is not the upstreams.
inline constexpr std::size_t upstreams_per_ejection = 3;

/// Ejects upstreams that fail far more flows than the others of their service
/// although they answer handshakes, and restores them once their failure count
/// has decayed.
class outlier_detector {
 public:
  /// Adds failed flows of an upstream. `service` holds all upstreams of its
  /// service. Returns true if this ejects the upstream.
  bool add(upstream_index upstream, std::uint32_t failures,
           std::span<const upstream_index> service, time_point now);
  bool is_ejected(upstream_index upstream) const;
  /// The decayed number of failed flows.
  double failures_at(upstream_index upstream, time_point now) const;
  void forget(upstream_index upstream);

  /// Calls `restored` with each upstream whose ejection ends.
  template <typename Restored>
  void restore(time_point now, Restored&& restored) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].ejected &&
          entries_[i].failures.at(now) < restore_threshold) {
        entries_[i].ejected = false;
        restored(upstream_index(static_cast<std::uint32_t>(i)));
      }
    }
  }

 private:
  /// An ejection ends when the decayed failure count is below this.
  static constexpr double restore_threshold = 0.5;
  static constexpr seconds failure_time_constant{2};

  struct entry {
    decaying_count failures{failure_time_constant};
    bool ejected = false;
  };

  bool is_outlier(upstream_index upstream,
                  std::span<const upstream_index> service,
                  time_point now) const;

  std::vector<entry> entries_;
};

}  // namespace rosemarydrum
