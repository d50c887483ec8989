#include "rosemarydrum/slots/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

// Reciprocal weight of a normal latency in the moving averages.
constexpr double normal_divisor = 16;
// Reciprocal weight of a slow latency. It is lower, so that the answers of a
// cold upstream do not soon count as normal. If a service has become slower
// permanently, the estimate adapts after a few hundred answers.
constexpr double slow_divisor = 256;
// Samples needed before an answer can count as slow. When many requests start
// together, the fast ones are answered first, so fewer samples underestimate
// the latency.
constexpr int min_samples = 32;

}  // namespace

upstream_health::upstream_health(std::uint16_t slots)
    : slots_(std::max(slots, cold_limit)) {
  become_cold();
}

void upstream_health::set_slots(std::uint16_t slots) {
  slots_ = std::max(slots, cold_limit);
  limit_ = std::min(limit_, slots_);
  if (state_ != health_state::cold) {
    // Added slots are ramped up like those of a cold upstream.
    state_ = limit_ < slots_ ? health_state::ramping : health_state::warm;
  }
}

bool upstream_health::on_release(const slot_release& release) {
  const health_state before = state_;
  const incarnation answering_run = release.upstream_run;
  if (release.outcome == attempt_outcome::unused) {
    return false;
  }
  if (answering_run != incarnation{} && answering_run != run_) {
    if (answering_run == previous_run_) {
      return false;  // A late answer of the previous run.
    }
    const bool restarted = run_ != incarnation{};
    previous_run_ = run_;
    run_ = answering_run;
    if (restarted) {
      become_cold();
    }
  }
  switch (release.outcome) {
    case attempt_outcome::shed:
    case attempt_outcome::reset:
      become_cold();
      break;
    case attempt_outcome::timed_out:
      on_slow_answer();
      break;
    case attempt_outcome::answered:
      on_answer(duration(release.latency_us));
      break;
    case attempt_outcome::unused:
    case attempt_outcome::rejected_late:
      break;
  }
  return state_ != before;
}

bool upstream_health::add_latency_sample(duration latency) {
  const auto latency_us = static_cast<double>(latency.count());
  if (samples_ < min_samples) {
    ++samples_;
    const double error = latency_us - mean_us_;
    mean_us_ += error / samples_;
    deviation_us_ += (std::abs(error) - deviation_us_) / samples_;
    update_usual_latency();
    return false;
  }
  const duration slow_threshold = slow_factor * usual_latency_;
  if (latency > slow_threshold) {
    mean_us_ +=
        (static_cast<double>(slow_threshold.count()) - mean_us_) / slow_divisor;
    update_usual_latency();
    return true;
  }
  const double error = latency_us - mean_us_;
  mean_us_ += error / normal_divisor;
  deviation_us_ += (std::abs(error) - deviation_us_) / normal_divisor;
  update_usual_latency();
  return false;
}

void upstream_health::on_answer(duration latency) {
  if (add_latency_sample(latency)) {
    on_slow_answer();
  } else {
    on_normal_answer();
  }
}

void upstream_health::on_normal_answer() {
  slow_streak_ = 0;
  if (state_ == health_state::warm ||
      ++normal_streak_ < answers_per_ramp_step) {
    return;
  }
  normal_streak_ = 0;
  limit_ = std::min<std::uint16_t>(limit_ + 1, slots_);
  state_ = limit_ == slots_ ? health_state::warm : health_state::ramping;
}

void upstream_health::update_usual_latency() {
  const auto usual = static_cast<duration::rep>(mean_us_ + deviation_us_);
  usual_latency_ = duration(std::max<duration::rep>(usual, 1));
}

void upstream_health::on_slow_answer() {
  normal_streak_ = 0;
  if (++slow_streak_ >= slow_streak_limit) {
    become_cold();
  }
}

void upstream_health::adopt(const upstream_limit& reported) {
  if (reported.upstream.run != incarnation{} && reported.upstream.run != run_) {
    previous_run_ = run_;
    run_ = reported.upstream.run;
  }
  const std::uint16_t limit = std::clamp(reported.limit, cold_limit, slots_);
  normal_streak_ = 0;
  limit_ = limit;
  if (reported.limit >= slots_) {
    state_ = health_state::warm;
  } else {
    state_ = limit_ > cold_limit ? health_state::ramping : health_state::cold;
  }
}

void upstream_health::set_expected_latency(duration usual) {
  if (usual_latency_ == duration{}) {
    mean_us_ = static_cast<double>(usual.count());
    deviation_us_ = 0;
    samples_ = min_samples;
    update_usual_latency();
  }
}

bool upstream_health::has_latency_estimate() const {
  return samples_ >= min_samples;
}

void upstream_health::on_possible_restart() { become_cold(); }

void upstream_health::become_cold() {
  limit_ = cold_limit;
  state_ = health_state::cold;
  normal_streak_ = 0;
  slow_streak_ = 0;
}

}  // namespace rosemarydrum
