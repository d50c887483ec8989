#include "rosemarydrum/forwarding/slow_start.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

constexpr double rise_by_answer = 1.25;
constexpr double fall_factor = 0.5;

}  // namespace

bool slow_start::begin(time_point at, double first_turn) {
  const bool was_active = is_active_;
  *this = {};
  is_active_ = true;
  begun_at_ = rises_from_ = at;
  turns_ = 1 - first_turn;
  return !was_active;
}

bool slow_start::has_begun(time_point now) const {
  return is_active_ && now >= begun_at_;
}

double slow_start::pace(time_point now) const {
  const double limit = evidence_ == evidence::good ? max_pace : full_pace;
  const auto rising = std::max(now - rises_from_, duration(0));
  const auto doublings = static_cast<double>(rising.count()) /
                         static_cast<double>(doubling_time_.count());
  return std::min(pace_ * std::exp2(doublings), limit);
}

bool slow_start::earn_turn(double usual_share, time_point now) {
  // Turns are not saved up, so that flows do not come in bursts.
  turns_ = std::min(turns_, 1.0) + usual_share * pace(now);
  return turns_ >= 1;
}

void slow_start::use_turn() { turns_ -= 1; }

// Without flows of its own, this member has no reason to hold the upstream
// back; with flows, it waits for an answer.
bool slow_start::pass_turn(bool is_equal, time_point now) {
  use_turn();
  if (!is_equal || evidence_ == evidence::awaited || pace(now) < full_pace) {
    return false;
  }
  is_active_ = false;
  return true;
}

void slow_start::on_placed() {
  if (evidence_ == evidence::none) {
    evidence_ = evidence::awaited;
  }
}

void slow_start::on_good_answer(time_point sent, time_point now) {
  if (!has_begun(now) || sent < fell_at_) {
    return;
  }
  pace_ = std::min(pace(now) * rise_by_answer, max_pace);
  rises_from_ = now;
  doubling_time_ = pace_doubling_time;
  evidence_ = evidence::good;
}

// The pace before a fall says nothing of the pace after it.
void slow_start::on_slow_answer(time_point sent, time_point now) {
  if (sent >= fell_at_) {
    on_failure(now);
  }
}

void slow_start::on_failure(time_point now) {
  if (has_begun(now) && now - fell_at_ >= pace_fall_spacing) {
    fall(now);
  }
}

void slow_start::fall(time_point now) {
  pace_ = std::max(pace(now) * fall_factor, min_pace);
  fell_at_ = now;
  rises_from_ = now + pace_hold_time;
  doubling_time_ =
      std::min<duration>(doubling_time_ * 2, max_pace_doubling_time);
  evidence_ = evidence::awaited;
}

bool slow_start::expire(time_point now) {
  if (!is_active_ || now - std::max(begun_at_, fell_at_) < max_slow_start) {
    return false;
  }
  is_active_ = false;
  return true;
}

}  // namespace rosemarydrum
