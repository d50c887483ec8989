#pragma once

#include <cstdint>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Pace of an upstream in slow start: the rate of this member's new flows to
/// it, relative to the rate at which the member uses the service's other
/// upstreams.
inline constexpr double min_pace = 1.0 / 8;
inline constexpr double full_pace = 1;
/// Above the full pace, because the others also hold flows from earlier.
inline constexpr double max_pace = 1.5;

/// Without signs of overload, the pace doubles within this time.
inline constexpr milliseconds pace_doubling_time{500};
/// Each fall of the pace doubles the time to the next doubling, up to this.
inline constexpr milliseconds max_pace_doubling_time{2000};
/// After a fall, the pace stays for this long.
inline constexpr milliseconds pace_hold_time{500};
/// Signs of overload within this time after a fall have the same cause.
inline constexpr milliseconds pace_fall_spacing{200};
/// Slow start ends after this time without signs of overload.
inline constexpr seconds max_slow_start{30};

/// Slow start of one upstream at one member: limits the member's new flows to
/// an upstream that has just started or recovered. Such an upstream has the
/// lowest load at every member, so that all would send to it at once.
///
/// The pace rises with time and with good answers, and is halved by each sign
/// of overload. It is spent in turns, which are counted by the service's flows:
/// with each flow, the upstream earns the part of a turn that the flow is worth
/// at its pace.
class slow_start {
 public:
  /// Begins, or begins again, at `at`, which may be in the future.
  /// `first_turn` is the part of a turn, 0 to 1, that must be earned before the
  /// first one; it keeps members from taking their first turns together.
  /// Returns true if the upstream was not in slow start.
  bool begin(time_point at, double first_turn);
  bool is_active() const { return is_active_; }
  double pace(time_point now) const;

  /// Earns a part of a turn with a new flow of the service. `usual_share` is
  /// the probability that the upstream gets such a flow at full pace. Returns
  /// whether the upstream has a turn.
  bool earn_turn(double usual_share, time_point now);
  /// Uses the turn: the flow goes to the upstream.
  void use_turn();
  /// Uses the turn, although the flow goes to an upstream that is not in slow
  /// start. `is_equal` tells that the load of this one is no longer lower.
  /// Returns true if this ends slow start.
  bool pass_turn(bool is_equal, time_point now);

  /// A flow was placed on the upstream.
  void on_placed();
  /// A request that was sent at `sent` was answered in full and in a usual
  /// time.
  void on_good_answer(time_point sent, time_point now);
  /// Signs of overload: a request sent at `sent` took too long, or a request or
  /// handshake failed.
  void on_slow_answer(time_point sent, time_point now);
  void on_failure(time_point now);
  /// Ends slow start after its longest time. Returns true if it ended.
  bool expire(time_point now);

 private:
  enum class evidence : std::uint8_t {
    none,
    /// Flows were placed, or the pace fell, without a good answer since.
    awaited,
    good,
  };

  bool has_begun(time_point now) const;
  void fall(time_point now);

  bool is_active_ = false;
  evidence evidence_ = evidence::none;
  time_point begun_at_;
  time_point fell_at_;
  /// The pace at `rises_from_`.
  double pace_ = min_pace;
  time_point rises_from_;
  duration doubling_time_ = pace_doubling_time;
  /// Turns earned and not used.
  double turns_ = 0;
};

}  // namespace rosemarydrum
