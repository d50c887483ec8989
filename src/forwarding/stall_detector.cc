#include "rosemarydrum/forwarding/stall_detector.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

/// Below this loss, other members' links are not taken for full.
constexpr double conclusive_loss = 0.02;
/// Later answers come from an upstream that was dead and is back.
constexpr milliseconds max_answer_delay{1000};
/// Losses on the way to a live upstream raise the number that proves it dead
/// for this long.
constexpr milliseconds live_loss_memory{5000};
/// Bounds the memory for an upstream that is gone.
constexpr std::size_t max_lost_transmissions = 256;

}  // namespace

void stall_detector::on_lost(upstream_index upstream, time_point sent,
                             time_point now) {
  join_retransmission(upstream, now);
  if (sent < counted_since_) {
    return;
  }
  if (sent <= entry_of(upstream).answered_at) {
    on_live_losses(entry_of(upstream), 1, now);
    return;
  }
  add_loss(upstream, {sent, {}}, now);
}

void stall_detector::on_reported_lost(upstream_index upstream,
                                      incarnation reporter, time_point sent,
                                      time_point now) {
  if (sent > entry_of(upstream).answered_at) {
    add_loss(upstream, {sent, reporter}, now);
  }
}

void stall_detector::add_loss(upstream_index upstream,
                              const lost_transmission& lost, time_point now) {
  auto& known = entry_of(upstream).lost;
  std::erase_if(known, [now](const auto& each) {
    return now - each.sent > lost_transmission_memory;
  });
  if (known.size() < max_lost_transmissions) {
    known.push_back(lost);
  }
  pending_.push_back(upstream);
}

void stall_detector::join_retransmission(upstream_index upstream,
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

bool stall_detector::on_alive(upstream_index upstream, time_point answered,
                              time_point now) {
  auto& known = entry_of(upstream);
  known.answered_at = std::max(known.answered_at, answered);
  std::size_t live = 0;
  std::erase_if(known.lost, [&](const auto& each) {
    const bool was_answered = each.sent <= answered;
    const bool is_own = each.reporter == incarnation{};
    live += was_answered && is_own && now - each.sent <= max_answer_delay;
    return was_answered;
  });
  if (live > 0) {
    on_live_losses(known, live, now);
  }
  // What is left was sent after the answer.
  return known.lost.empty() &&
         std::exchange(known.unresponsive_until, time_point{}) > now;
}

void stall_detector::on_live_losses(entry& known, std::size_t losses,
                                    time_point now) {
  loss_.on_loss(losses, now);
  if (now - known.live_losses_since > live_loss_memory) {
    known.live_losses = 0;
    known.live_losses_since = now;
  }
  known.live_losses += losses;
}

bool stall_detector::is_conclusive(time_point now) const {
  return now >= paused_until_ && loss_.share(now) < conclusive_loss;
}

// Members' links are full at the same time, so that their reports prove nothing
// while data to live upstreams must be sent again.
bool stall_detector::is_proven(const entry& known, bool needs_reporter,
                               time_point now) const {
  const bool counts_reports = is_conclusive(now);
  std::size_t own = 0;
  std::vector<time_point> times;
  for (const auto& [sent, reporter] : known.lost) {
    const bool is_own = reporter == incarnation{};
    if (is_own ? is_telling(sent) : counts_reports) {
      own += is_own ? 1 : 0;
      times.push_back(sent);
    }
  }
  if (own == 0 || (needs_reporter && own == times.size())) {
    return false;
  }
  const bool knows_live_losses =
      now - known.live_losses_since <= live_loss_memory;
  const auto needed = std::max(loss_.losses_of_dead_upstream(now),
                               min_losses_of_dead_upstream +
                                   (knows_live_losses ? known.live_losses : 0));
  std::sort(times.begin(), times.end());
  std::size_t independent = 0;
  time_point last;
  for (const auto sent : times) {
    if (independent == 0 || sent - last >= independent_loss_interval) {
      ++independent;
      last = sent;
    }
  }
  return times.size() >= needed && independent >= min_loss_times;
}

bool stall_detector::judge(upstream_index upstream, bool needs_reporter,
                           time_point now) {
  auto& known = entry_of(upstream);
  if (!is_proven(known, needs_reporter, now)) {
    return false;
  }
  const bool was_unresponsive = now < known.unresponsive_until;
  known.unresponsive_until = now + unresponsive_time;
  return !was_unresponsive;
}

std::vector<upstream_index> stall_detector::take_pending(time_point now) {
  if (now < paused_until_ || pending_.empty()) {
    return {};
  }
  auto upstreams = std::exchange(pending_, {});
  std::sort(upstreams.begin(), upstreams.end());
  upstreams.erase(std::unique(upstreams.begin(), upstreams.end()),
                  upstreams.end());
  std::erase_if(upstreams, [this](upstream_index each) {
    return entry_of(each).lost.empty();
  });
  return upstreams;
}

bool stall_detector::is_unresponsive(upstream_index upstream,
                                     time_point now) const {
  const auto* known = find(upstream);
  return known != nullptr && now < known->unresponsive_until;
}

time_point stall_detector::answered_at(upstream_index upstream) const {
  const auto* known = find(upstream);
  return known == nullptr ? time_point{} : known->answered_here_at;
}

std::size_t stall_detector::losses(upstream_index upstream) const {
  const auto* known = find(upstream);
  return known == nullptr ? 0 : known->lost.size();
}

void stall_detector::restart(time_point now) {
  counted_since_ = now;
  pending_.clear();
  for (auto& each : entries_) {
    each.lost.clear();
  }
}

void stall_detector::forget(upstream_index upstream) {
  if (value_of(upstream) < entries_.size()) {
    entries_[value_of(upstream)] = {};
  }
}

const stall_detector::entry* stall_detector::find(
    upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < entries_.size() ? &entries_[position] : nullptr;
}

stall_detector::entry& stall_detector::entry_of(upstream_index upstream) {
  const auto position = value_of(upstream);
  if (position >= entries_.size()) {
    entries_.resize(position + 1);
  }
  return entries_[position];
}

}  // namespace rosemarydrum
