#include "rosemarydrum/forwarding/service_ability.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

constexpr milliseconds period{600};
/// Fewer failures than this may be those of a few callers.
constexpr int least_failures = 6;
/// Failures for each opened flow that count as nearly all.
constexpr int failures_per_opened = 9;
constexpr milliseconds first_pause{3000};
constexpr milliseconds longest_pause{12000};

}  // namespace

service_ability::service_ability() : next_pause_(first_pause) {}

void service_ability::on_opened(time_point now) {
  roll(now);
  ++opened_;
  judge(now);
}

void service_ability::on_failed(time_point now) {
  roll(now);
  ++failed_;
  judge(now);
}

void service_ability::reset() {
  unable_until_ = {};
  next_pause_ = first_pause;
}

void service_ability::roll(time_point now) {
  if (now - period_began_ >= period) {
    period_began_ = now;
    opened_ = 0;
    failed_ = 0;
  }
}

void service_ability::judge(time_point now) {
  if (failed_ >= least_failures && failed_ >= failures_per_opened * opened_) {
    if (!is_unable(now)) {
      unable_until_ = now + next_pause_;
      next_pause_ = std::min<duration>(next_pause_ * 2, longest_pause);
    }
  } else if (opened_ > failed_) {
    reset();
  }
}

}  // namespace rosemarydrum
