#include "rosemarydrum/forwarding/stall_detector.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {

bool stall_detector::on_answer(upstream_index upstream, time_point now) {
  auto& known = entry_of(upstream);
  answered_at_ = known.answered_at = now;
  known.stalled = 0;
  known.reporters.clear();
  return std::exchange(known.unresponsive_until, time_point{}) > now;
}

bool stall_detector::on_stalled(upstream_index upstream, time_point sent,
                                bool needs_reporter, time_point now) {
  auto& known = entry_of(upstream);
  if (sent < counted_since_ || sent <= known.answered_at) {
    return false;
  }
  begin_period(known, now);
  ++known.stalled;
  return update(known, needs_reporter, now);
}

bool stall_detector::on_reported(upstream_index upstream, incarnation reporter,
                                 bool needs_reporter, time_point now) {
  auto& known = entry_of(upstream);
  begin_period(known, now);
  auto& reporters = known.reporters;
  if (std::find(reporters.begin(), reporters.end(), reporter) ==
      reporters.end()) {
    reporters.push_back(reporter);
  }
  return update(known, needs_reporter, now);
}

void stall_detector::begin_period(entry& known, time_point now) {
  const bool is_empty = known.stalled == 0 && known.reporters.empty();
  if (is_empty || now - known.first_stall_at > stall_memory) {
    known.stalled = 0;
    known.reporters.clear();
    known.first_stall_at = now;
  }
}

bool stall_detector::update(entry& known, bool needs_reporter, time_point now) {
  const bool is_confirmed = !needs_reporter || !known.reporters.empty();
  if (known.stalled == 0 || !is_confirmed ||
      known.stalled + known.reporters.size() < stalls_of_unresponsive) {
    return false;
  }
  const bool was_unresponsive = now < known.unresponsive_until;
  known.unresponsive_until = now + stall_memory;
  return !was_unresponsive;
}

bool stall_detector::is_unresponsive(upstream_index upstream,
                                     time_point now) const {
  const auto position = value_of(upstream);
  return position < entries_.size() &&
         now < entries_[position].unresponsive_until;
}

void stall_detector::restart(time_point now) { counted_since_ = now; }

void stall_detector::forget(upstream_index upstream) {
  if (value_of(upstream) < entries_.size()) {
    entries_[value_of(upstream)] = {};
  }
}

stall_detector::entry& stall_detector::entry_of(upstream_index upstream) {
  const auto position = value_of(upstream);
  if (position >= entries_.size()) {
    entries_.resize(position + 1);
  }
  return entries_[position];
}

}  // namespace rosemarydrum
