#include "rosemarydrum/forwarding/stall_detector.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

/// Callers of a live upstream have an answer within this time after a stall,
/// unless the upstream was dead and is back.
constexpr milliseconds max_false_stall_time{700};
/// Below this loss, other members' links are not taken for full.
constexpr double conclusive_loss = 0.02;
/// Later answers come from an upstream that was dead and is back.
constexpr milliseconds max_answer_delay{1000};

}  // namespace

void stall_detector::on_answered_retransmission(time_point sent,
                                                time_point now) {
  if (now - sent <= max_answer_delay) {
    loss_.on_loss(1, now);
  }
}

bool stall_detector::on_answer(upstream_index upstream, time_point now) {
  auto& known = entry_of(upstream);
  answered_at_ = known.answered_at = now;
  if (known.stalled > 0 && now - known.first_stall_at <= max_false_stall_time) {
    loss_.on_loss(known.stalled, now);
  }
  known.stalled = 0;
  known.reporters.clear();
  return std::exchange(known.unresponsive_until, time_point{}) > now;
}

void stall_detector::on_retransmission(upstream_index upstream,
                                       time_point now) {
  std::erase_if(retransmissions_, [&](const auto& each) {
    return each.upstream == upstream ||
           now - each.at > joint_retransmission_window;
  });
  retransmissions_.push_back({now, upstream});
  if (retransmissions_.size() >= joint_retransmissions && now >= next_pause_) {
    paused_until_ = now + judgement_pause;
    next_pause_ = now + judgement_pause_interval;
  }
}

bool stall_detector::on_stalled(upstream_index upstream, time_point sent,
                                bool needs_reporter, time_point now) {
  auto& known = entry_of(upstream);
  if (sent < counted_since_ || sent <= known.answered_at) {
    return false;
  }
  begin_period(known, now);
  ++known.stalled;
  return judge(upstream, needs_reporter, now);
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
  return judge(upstream, needs_reporter, now);
}

void stall_detector::begin_period(entry& known, time_point now) {
  const bool is_empty = known.stalled == 0 && known.reporters.empty();
  if (is_empty || now - known.last_stall_at > stall_memory) {
    known.stalled = 0;
    known.reporters.clear();
    known.first_stall_at = now;
  }
  known.last_stall_at = now;
}

bool stall_detector::is_conclusive(time_point now) const {
  return now >= paused_until_ && loss_.share(now) < conclusive_loss;
}

// Members' links are full at the same time, so that their reports prove nothing
// while requests to live upstreams must be sent again.
bool stall_detector::is_proven(const entry& known, time_point now) const {
  const auto reported = is_conclusive(now) ? known.reporters.size() : 0;
  return known.stalled + reported >= loss_.stalls_of_dead_upstream(now);
}

bool stall_detector::judge(upstream_index upstream, bool needs_reporter,
                           time_point now) {
  auto& known = entry_of(upstream);
  if (now < paused_until_) {
    postponed_.push_back(upstream);
    return false;
  }
  const bool is_confirmed = !needs_reporter || !known.reporters.empty();
  if (known.stalled == 0 || !is_confirmed || !is_proven(known, now)) {
    return false;
  }
  const bool was_unresponsive = now < known.unresponsive_until;
  known.unresponsive_until = now + stall_memory;
  return !was_unresponsive;
}

std::vector<upstream_index> stall_detector::take_postponed(time_point now) {
  if (now < paused_until_) {
    return {};
  }
  auto upstreams = std::exchange(postponed_, {});
  std::sort(upstreams.begin(), upstreams.end());
  upstreams.erase(std::unique(upstreams.begin(), upstreams.end()),
                  upstreams.end());
  std::erase_if(upstreams, [this](upstream_index each) {
    return entry_of(each).stalled == 0;
  });
  return upstreams;
}

bool stall_detector::is_unresponsive(upstream_index upstream,
                                     time_point now) const {
  const auto position = value_of(upstream);
  return position < entries_.size() &&
         now < entries_[position].unresponsive_until;
}

void stall_detector::restart(time_point now) {
  counted_since_ = now;
  postponed_.clear();
  for (auto& each : entries_) {
    each.stalled = 0;
    each.reporters.clear();
  }
}

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
