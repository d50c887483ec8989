#pragma once

#include <cstdint>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class health_state : std::uint8_t { cold, ramping, warm };

inline constexpr std::uint16_t cold_limit = 1;
/// Answers in a row after which a ramping upstream's limit grows by one.
inline constexpr int ramp_answers = 4;
/// An answer is slow if it takes this many times the usual latency.
inline constexpr int slow_factor = 3;
/// Slow answers in a row that mean the upstream is cold again.
inline constexpr int slow_answers = 2;

/// How many requests an upstream bears, judged by its answers. Its reported
/// load is not used to raise the limit, because it lags.
class upstream_health {
 public:
  /// `slots` is the limit when warm.
  explicit upstream_health(std::uint16_t slots);

  void set_slots(std::uint16_t slots);

  /// Takes in how an attempt ended. Returns true if the state has changed.
  bool on_release(const slot_release& release);

  /// Takes over what another decider knew.
  void adopt(const upstream_limit& known);

  /// Sets the usual latency if none is known, as that of the service's other
  /// upstreams, so that a cold upstream's first answers do not define it.
  void expect_latency(duration usual);

  /// It may have been restarted: cold until it has answered again.
  void restart();

  /// The limit when warm.
  std::uint16_t slots() const { return slots_; }
  /// Takes an answer's latency into the estimate alone, as a balancer does that
  /// does not decide. Returns true if it is slow.
  bool learn_latency(duration latency);
  /// Whether the estimate rests on enough answers.
  bool knows_latency() const;

  /// Requests that it may run at a time.
  std::uint16_t limit() const { return limit_; }
  health_state state() const { return state_; }
  incarnation run() const { return run_; }
  /// Usual latency, 0 before the first answer: mean plus mean deviation, both
  /// exponentially weighted. The deviation keeps the spread of a service's run
  /// times from counting as slowness.
  duration usual_latency() const { return usual_latency_; }

 private:
  void on_answer(duration latency);
  void update_usual();
  void on_good();
  void on_slow();
  void become_cold();

  std::uint16_t slots_;
  std::uint16_t limit_ = cold_limit;
  health_state state_ = health_state::cold;
  incarnation run_{};
  incarnation previous_run_{};
  double mean_us_ = 0;
  double deviation_us_ = 0;
  duration usual_latency_{};
  int samples_ = 0;
  int good_in_row_ = 0;
  int slow_in_row_ = 0;
};

}  // namespace rosemarydrum
