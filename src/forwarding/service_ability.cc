#include "rosemarydrum/forwarding/service_ability.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Fewer failures may come from only a few callers.
constexpr double min_failures = 5;
/// Nearly all flows fail if there are this many failures per opened flow.
constexpr double failures_per_opened = 9;
constexpr milliseconds first_pause{3000};
constexpr milliseconds max_pause{12000};
/// A process that stays cut off counts as able again after this time.
constexpr milliseconds max_cut_off{15000};
/// The process is cut off if its upstream directory is older than this.
constexpr milliseconds cut_off_age{2500};

}  // namespace

service_ability::service_ability() : next_pause_(first_pause) {}

void service_ability::on_opened(time_point now) {
  opened_.add(1, now);
  update_state(now);
}

void service_ability::on_failed(time_point now) {
  failed_.add(1, now);
  update_state(now);
}

bool service_ability::is_unable(time_point now) const {
  if (unable_since_ == time_point{}) {
    return false;
  }
  const bool is_cut_off =
      now - confirmed_ > cut_off_age && now - unable_since_ < max_cut_off;
  return is_cut_off || now < unable_until_;
}

void service_ability::reset() {
  unable_since_ = {};
  unable_until_ = {};
  next_pause_ = first_pause;
}

void service_ability::update_state(time_point now) {
  evaluated_at_ = now;
  const double opened = opened_.at(now);
  const double failed = failed_.at(now);
  if (failed >= min_failures && failed >= failures_per_opened * opened) {
    if (!is_unable(now)) {
      unable_since_ = now;
      unable_until_ = now + next_pause_;
      next_pause_ = std::min<duration>(next_pause_ * 2, max_pause);
    }
  } else if (opened > failed) {
    reset();
  }
}

}  // namespace rosemarydrum
