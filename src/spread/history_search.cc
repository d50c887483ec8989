#include "rosemarydrum/spread/history_search.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

/// Upstreams are cold for less than this after their data centre has returned.
constexpr seconds required_history{10};
/// A process that starts places no flows for this time, unless it knows enough.
constexpr milliseconds max_wait{250};
/// Members differ in what they know of the flows of their data centre.
constexpr int min_answers = 2;
constexpr int max_asks = 6;
constexpr milliseconds first_deadline{150};
constexpr milliseconds max_deadline{1500};
/// A member that is behind this process catches up within this time.
constexpr milliseconds catch_up_time{100};
constexpr milliseconds repeat_interval{500};

}  // namespace

void history_search::begin(revision at, time_point now) {
  if (!std::exchange(has_begun_, true)) {
    awaited_until_ = now + max_wait;
  }
  seen_from_ = at;
  known_since_ = now;
  repeat();
}

void history_search::repeat() {
  asks_ = 0;
  answers_ = 0;
  asked_.clear();
  next_ask_ = {};
}

bool history_search::wants_more(time_point now) const {
  const bool is_covered = covered(now) >= required_history;
  return asks_ < max_asks && (answers_ < min_answers || !is_covered);
}

bool history_search::is_due(time_point now) const {
  return has_begun_ && !is_pending_ && now >= next_ask_ && wants_more(now);
}

duration history_search::on_asked(const endpoint& member) {
  is_pending_ = true;
  pending_ = member;
  asked_.push_back(member);
  const auto deadline = first_deadline * (1 << asks_);
  ++asks_;
  return std::min<duration>(deadline, max_deadline);
}

void history_search::on_answer(revision at, duration covered, time_point now) {
  is_pending_ = false;
  if (at < seen_from_) {
    // It may miss what was removed just before this process read the items.
    next_ask_ = now + catch_up_time;
    std::erase(asked_, pending_);
    return;
  }
  ++answers_;
  known_since_ = std::min(known_since_, now - covered);
}

void history_search::on_all_asked(time_point now) {
  awaited_until_ = std::min(awaited_until_, now);
  next_ask_ = now + repeat_interval;
  asked_.clear();
}

bool history_search::is_awaited(time_point now) const {
  return now < awaited_until_ && covered(now) < required_history &&
         (is_pending_ || wants_more(now));
}

duration history_search::covered(time_point now) const {
  return has_begun_ ? now - known_since_ : duration(0);
}

}  // namespace rosemarydrum
