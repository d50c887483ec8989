#pragma once

#include <cstdint>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Cold: at `cold_limit`. Ramping: above it, below all slots. Warm: all slots.
enum class health_state : std::uint8_t { cold, ramping, warm };

/// Requests that a cold upstream may run at a time.
inline constexpr std::uint16_t cold_limit = 1;
/// Consecutive answers of normal latency that raise the limit of an upstream
/// that is not warm by one.
inline constexpr int answers_per_ramp_step = 4;
/// An answer is slow if it takes more than this many times the usual latency.
inline constexpr int slow_factor = 3;
/// Consecutive slow answers or timeouts that make an upstream cold.
inline constexpr int slow_streak_limit = 2;

/// Adaptive concurrency limit of one upstream, derived from the outcomes and
/// latencies of its requests. The load that the upstream reports is not used to
/// raise the limit, because it lags behind.
class upstream_health {
 public:
  /// `slots` is the limit when warm.
  explicit upstream_health(std::uint16_t slots);

  void set_slots(std::uint16_t slots);

  /// Processes the outcome of an attempt. Returns true if the state has
  /// changed.
  bool on_release(const slot_release& release);

  /// Sets the limit, and the run if known, to the values of another decider.
  void adopt(const upstream_limit& reported);

  /// Sets the usual latency, taken from other upstreams of the service, if
  /// there is no estimate yet. Otherwise the slow first answers of a cold
  /// upstream would count as normal.
  void set_expected_latency(duration usual);

  /// Makes the upstream cold, because it may have restarted.
  void on_possible_restart();

  /// Returns the limit when warm.
  std::uint16_t slots() const { return slots_; }
  /// Adds the latency of an answer to the estimate without changing the limit.
  /// Returns true if the answer is slow.
  bool add_latency_sample(duration latency);
  /// Returns whether the estimate has enough samples to detect slow answers.
  bool has_latency_estimate() const;

  /// Returns how many requests the upstream may run at a time.
  std::uint16_t limit() const { return limit_; }
  health_state state() const { return state_; }
  incarnation run() const { return run_; }
  /// Returns the usual latency, 0 if there is no estimate: mean plus mean
  /// absolute deviation, both exponentially weighted. The deviation keeps the
  /// normal variance of run times from counting as slowness.
  duration usual_latency() const { return usual_latency_; }

 private:
  void on_answer(duration latency);
  void update_usual_latency();
  void on_normal_answer();
  void on_slow_answer();
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
  int normal_streak_ = 0;
  int slow_streak_ = 0;
};

}  // namespace rosemarydrum
