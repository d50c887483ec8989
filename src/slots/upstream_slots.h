#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/slots/upstream_health.h"

namespace rosemarydrum::detail {

/// Exponentially weighted mean of an upstream's in-flight count.
class recent_load {
 public:
  /// Updates the mean; the count was `in_flight` since the previous update.
  void update(std::uint32_t in_flight, time_point now) {
    mean_ = at(in_flight, now);
    updated_ = now;
  }
  /// Returns the mean at `now`; the count was `in_flight` since the last
  /// update.
  double at(std::uint32_t in_flight, time_point now) const {
    const double count = in_flight;
    const std::chrono::duration<double> passed = now - updated_;
    return now <= updated_
               ? mean_
               : count + (mean_ - count) * std::exp(-passed.count() / window_s);
  }

 private:
  // Equals the window in which load imbalance is measured.
  static constexpr double window_s = 1.0;

  double mean_ = 0;
  time_point updated_;
};

/// Bounds of the backoff after a reset or a shed request, which doubles until a
/// request is answered. An upstream that fails immediately has the lowest load
/// and would otherwise be chosen for almost every request.
inline constexpr milliseconds min_backoff{20};
inline constexpr milliseconds max_backoff{1000};

/// An upstream of this data centre and the use of its slots.
struct upstream_slots {
  upstream_slots(upstream_id upstream, std::uint16_t slots, time_point now)
      : id(upstream), first_seen(now), health(slots) {}

  upstream_id id{};
  /// Listed in the configuration. Others are kept until their grants have
  /// ended.
  bool listed = false;
  /// Listed, and neither the upstream nor its data centre is out.
  bool enabled = false;
  /// Set to out by an operator: its flows continue, but it gets no new ones.
  bool draining = false;
  /// When this balancer first saw the upstream, or last saw it return to
  /// service.
  time_point first_seen;
  /// This balancer's share of the slots while the shard has no decider.
  std::uint16_t own_share = 0;
  upstream_health health;
  /// Running grants, and the part of them that this balancer owns.
  std::uint32_t in_flight = 0;
  std::uint32_t own_in_flight = 0;
  recent_load recent;
  milliseconds backoff{};
  time_point backoff_until;

  /// Starts or ends the backoff.
  void on_outcome(attempt_outcome outcome, time_point now) {
    if (outcome == attempt_outcome::answered) {
      backoff = milliseconds::zero();
    } else if (outcome == attempt_outcome::reset ||
               outcome == attempt_outcome::shed) {
      backoff = std::clamp(2 * backoff, min_backoff, max_backoff);
      backoff_until = now + backoff;
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
