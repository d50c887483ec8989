#include "rosemarydrum/forwarding/stall_detector.h"

#include <utility>

namespace rosemarydrum {

bool stall_detector::on_answer(upstream_index upstream, time_point now) {
  auto& known = entry_of(upstream);
  answered_at_ = known.answered_at = now;
  known.stalled = 0;
  return std::exchange(known.unresponsive_until, time_point{}) > now;
}

bool stall_detector::on_stalled(upstream_index upstream, std::uint32_t flows,
                                time_point sent, std::uint32_t threshold,
                                time_point now) {
  auto& known = entry_of(upstream);
  // If no other upstream has answered since, this process may be cut off.
  if (sent < counted_since_ || sent <= known.answered_at ||
      answered_at_ <= sent) {
    return false;
  }
  if (known.stalled == 0 || now - known.first_stall_at > stall_memory) {
    known.stalled = 0;
    known.first_stall_at = now;
  }
  known.stalled += flows;
  if (known.stalled < threshold) {
    return false;
  }
  const bool was_unresponsive = is_unresponsive(upstream, now);
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
