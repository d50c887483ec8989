#include "rosemarydrum/slots/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

// Weight of an answer within the usual range: one in this many.
constexpr double usual_weight = 16;
// Slow answers move the estimate less, so that a cold upstream's answers do
// not soon count as usual; a service that has become slower for good is
// accepted after some hundred answers.
constexpr double slow_weight = 256;
// Answers before the usual latency is known well enough to call one slow. The
// first answers of many requests that start together are the fast ones.
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
    // Added slots are ramped like those of a cold upstream.
    state_ = limit_ < slots_ ? health_state::ramping : health_state::warm;
  }
}

bool upstream_health::on_release(const slot_release& release) {
  const health_state before = state_;
  const incarnation shown = release.upstream_run;
  if (release.outcome == attempt_outcome::unused) {
    return false;
  }
  if (shown != incarnation{} && shown != run_) {
    if (shown == previous_run_) {
      return false;  // A late answer of the run before.
    }
    const bool restarted = run_ != incarnation{};
    previous_run_ = run_;
    run_ = shown;
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
      on_slow();
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

bool upstream_health::learn_latency(duration latency) {
  const auto latency_us = static_cast<double>(latency.count());
  if (samples_ < min_samples) {
    ++samples_;
    const double error = latency_us - mean_us_;
    mean_us_ += error / samples_;
    deviation_us_ += (std::abs(error) - deviation_us_) / samples_;
    update_usual();
    return false;
  }
  const duration slow = slow_factor * usual_latency_;
  if (latency > slow) {
    mean_us_ += (static_cast<double>(slow.count()) - mean_us_) / slow_weight;
    update_usual();
    return true;
  }
  const double error = latency_us - mean_us_;
  mean_us_ += error / usual_weight;
  deviation_us_ += (std::abs(error) - deviation_us_) / usual_weight;
  update_usual();
  return false;
}

void upstream_health::on_answer(duration latency) {
  if (learn_latency(latency)) {
    on_slow();
  } else {
    on_good();
  }
}

void upstream_health::on_good() {
  slow_in_row_ = 0;
  if (state_ == health_state::warm || ++good_in_row_ < ramp_answers) {
    return;
  }
  good_in_row_ = 0;
  limit_ = std::min<std::uint16_t>(limit_ + 1, slots_);
  state_ = limit_ == slots_ ? health_state::warm : health_state::ramping;
}

void upstream_health::update_usual() {
  const auto usual = static_cast<duration::rep>(mean_us_ + deviation_us_);
  usual_latency_ = duration(std::max<duration::rep>(usual, 1));
}

void upstream_health::on_slow() {
  good_in_row_ = 0;
  if (++slow_in_row_ >= slow_answers) {
    become_cold();
  }
}

void upstream_health::adopt(const upstream_limit& known) {
  if (known.upstream.run != incarnation{} && known.upstream.run != run_) {
    previous_run_ = run_;
    run_ = known.upstream.run;
  }
  const std::uint16_t limit = std::clamp(known.limit, cold_limit, slots_);
  good_in_row_ = 0;
  limit_ = limit;
  if (known.limit >= slots_) {
    state_ = health_state::warm;
  } else {
    state_ = limit_ > cold_limit ? health_state::ramping : health_state::cold;
  }
}

void upstream_health::expect_latency(duration usual) {
  if (usual_latency_ == duration{}) {
    mean_us_ = static_cast<double>(usual.count());
    deviation_us_ = 0;
    samples_ = min_samples;
    update_usual();
  }
}

bool upstream_health::knows_latency() const { return samples_ >= min_samples; }

void upstream_health::restart() { become_cold(); }

void upstream_health::become_cold() {
  limit_ = cold_limit;
  state_ = health_state::cold;
  good_in_row_ = 0;
  slow_in_row_ = 0;
}

}  // namespace rosemarydrum
