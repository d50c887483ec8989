#pragma once

#include <span>
#include <vector>

#include "rosemarydrum/forwarding/fading_count.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Part of a service's upstreams, one in this many, that may be ejected at a
/// time: if more fail, the cause is not the upstreams.
inline constexpr std::size_t ejected_part = 3;

/// Finds the upstreams that fail far more flows than others of their service,
/// though they answer handshakes. They get flows again when their failures are
/// forgotten.
class failing_upstreams {
 public:
  /// Flows of the upstream have failed. `service` are all upstreams of its
  /// service. Returns true if that ejects it.
  bool add(upstream_index upstream, std::uint32_t failures,
           std::span<const upstream_index> service, time_point now);
  bool is_ejected(upstream_index upstream) const;
  double level(upstream_index upstream, time_point now) const;
  void forget(upstream_index upstream);

  /// Calls `restored` with each upstream that may get flows again.
  template <typename Restored>
  void restore(time_point now, Restored&& restored) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (entries_[i].ejected &&
          entries_[i].failures.at(now) < restored_level) {
        entries_[i].ejected = false;
        restored(upstream_index(static_cast<std::uint32_t>(i)));
      }
    }
  }

 private:
  static constexpr double restored_level = 0.5;
  static constexpr seconds failure_memory{2};

  struct entry {
    fading_count failures{failure_memory};
    bool ejected = false;
  };

  bool is_outlier(upstream_index upstream,
                  std::span<const upstream_index> service,
                  time_point now) const;

  std::vector<entry> entries_;
};

}  // namespace rosemarydrum
