#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/slots/upstream_health.h"

namespace rosemarydrum::detail {

/// The recent mean of an upstream's in-flight count, exponentially weighted.
class recent_load {
 public:
  /// The count has been `in_flight` since the last update.
  void update(std::uint32_t in_flight, time_point now) {
    mean_ = at(in_flight, now);
    updated_ = now;
  }
  double at(std::uint32_t in_flight, time_point now) const {
    const double count = in_flight;
    const std::chrono::duration<double> passed = now - updated_;
    return now <= updated_
               ? mean_
               : count + (mean_ - count) * std::exp(-passed.count() / window_s);
  }

 private:
  // The window in which the imbalance is measured.
  static constexpr double window_s = 1.0;

  double mean_ = 0;
  time_point updated_;
};

/// Pause after a reset or a shed request, doubled until one is answered. An
/// upstream that fails at once is the least loaded one and would otherwise be
/// chosen for almost every request.
inline constexpr milliseconds min_pause{20};
inline constexpr milliseconds max_pause{1000};

/// An upstream of this data centre with its counts.
struct upstream_slots {
  upstream_slots(upstream_id known, std::uint16_t slots, time_point now)
      : id(known), first_seen(now), health(slots) {}

  upstream_id id{};
  /// Listed in the configuration; others are kept until their grants end.
  bool listed = false;
  /// Neither it nor its data centre is out.
  bool open = false;
  /// Operators have taken it out: its flows go on, it gets no new ones.
  bool draining = false;
  /// When it was opened, as far as known here.
  time_point first_seen;
  /// Slots that belong to this balancer while the cell has no decider.
  std::uint16_t own_share = 0;
  upstream_health health;
  /// Grants that are running, and those among them for this balancer.
  std::uint32_t in_flight = 0;
  std::uint32_t own_in_flight = 0;
  recent_load recent;
  milliseconds pause{};
  time_point paused_until;

  void on_outcome(attempt_outcome outcome, time_point now) {
    if (outcome == attempt_outcome::answered) {
      pause = milliseconds::zero();
    } else if (outcome == attempt_outcome::reset ||
               outcome == attempt_outcome::shed) {
      pause = std::clamp(2 * pause, min_pause, max_pause);
      paused_until = now + pause;
    }
  }
  void add(bool own, time_point now) {
    recent.update(in_flight, now);
    ++in_flight;
    own_in_flight += own ? 1 : 0;
  }
  void remove(bool own, time_point now) {
    recent.update(in_flight, now);
    --in_flight;
    own_in_flight -= own ? 1 : 0;
  }
};

}  // namespace rosemarydrum::detail
