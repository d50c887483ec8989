#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/placement.h"

// What entries, handshakes, stalled flows and failed requests say of upstreams.

namespace rosemarydrum {
namespace {

/// An upstream that fails more than so many times as often as another is worse
/// than that one.
constexpr double max_failure_ratio = 4;
/// Fewer upstreams in a data centre do not tell an overload from faults.
constexpr std::size_t min_judged_upstreams = 4;

}  // namespace

bool placement::on_answered(upstream_index upstream, duration warmup,
                            time_point sent, time_point now) {
  auto& state = state_of(upstream);
  const bool was_silent = state.health.on_answered(sent);
  if (was_silent) {
    state.assumed_cold_until = std::max(state.assumed_cold_until, now + warmup);
    begin_slow_start(upstream, state.assumed_cold_until);
  }
  return was_silent;
}

bool placement::on_unanswered(upstream_index upstream, time_point sent,
                              time_point now) {
  auto& state = state_of(upstream);
  const int unanswered = state.health.unanswered();
  const bool became_silent = state.health.on_unanswered(sent, now);
  if (state.health.unanswered() > unanswered) {
    state.pacing.on_failure(now);
  }
  if (became_silent) {
    spread_retries(state, now);
  }
  return became_silent;
}

bool placement::suspect_restart(upstream_index upstream, time_point sent,
                                duration warmup, time_point now) {
  return state_of(upstream).restart.on_unanswered(sent, warmup, now);
}

void placement::on_alive(upstream_index upstream, time_point answered) {
  state_of(upstream).restart.on_alive(answered);
}

void placement::on_flow_answered(upstream_index upstream, time_point opened,
                                 time_point answered) {
  state_of(upstream).restart.on_flow_answered(opened, answered);
}

void placement::on_unresponsive(upstream_index upstream, time_point now) {
  auto& state = state_of(upstream);
  const bool was_silent = state.health.is_silent();
  state.health.on_unresponsive(now);
  if (!was_silent) {
    spread_retries(state, now);
  }
}

void placement::on_responsive(upstream_index upstream, time_point now) {
  state_of(upstream).health.reset();
  begin_slow_start(upstream, now);
}

void placement::spread_retries(upstream_state& state, time_point now) {
  const auto interval = cold_budget_.shared_interval(settings_.cold_extra);
  const auto fraction = static_cast<double>(random_() - random_.min()) /
                        static_cast<double>(random_.max() - random_.min());
  state.cold_flow_at =
      now - duration(static_cast<duration::rep>(
                fraction * static_cast<double>(interval.count())));
}

bool placement::on_failures(upstream_index upstream, std::uint32_t failures,
                            time_point now) {
  state_of(upstream).pacing.on_failure(now);
  const auto& record = directory_.at(upstream).record;
  const auto service = directory_.of_service(record.service);
  const bool is_single_fault = !is_overloaded(service, upstream, failures, now);
  return outliers_.add(
      upstream, failures,
      is_single_fault ? service : std::span<const upstream_index>{}, now);
}

// If most upstreams of a data centre fail requests, they are overloaded, and
// without some of them the others would have to serve more.
bool placement::is_overloaded(std::span<const upstream_index> service,
                              upstream_index judged, std::uint32_t failures,
                              time_point now) const {
  const auto& data_centre = directory_.at(judged).record.data_centre;
  const double threshold = std::max(
      1.0, (outliers_.failures_at(judged, now) + failures) / max_failure_ratio);
  std::size_t failing = 0;
  std::size_t all = 0;
  for (const auto each : service) {
    if (directory_.at(each).record.data_centre == data_centre) {
      ++all;
      failing += outliers_.failures_at(each, now) >= threshold ? 1 : 0;
    }
  }
  return all >= min_judged_upstreams && 2 * failing > all;
}

void placement::on_record(upstream_index upstream, time_point now) {
  const auto& known = directory_.at(upstream);
  auto& state = state_of(upstream);
  const bool was_silent = state.health.is_silent();
  state.health.reset();
  if (!known.takes_flows(confirmed_)) {
    state.run.reset();
    state.pacing = {};
    return;
  }
  if (!first_listed_at_) {
    first_listed_at_ = now;
  }
  // Those listed first may have run for long: this process has started.
  const bool is_new =
      !state.run && now - *first_listed_at_ > first_listing_time;
  const bool is_restarted = state.run && *state.run != known.record.run;
  if (is_restarted) {
    // The entry tells for how long it is cold.
    state.restart = {};
  }
  state.run = known.record.run;
  if (known.cold_until > now) {
    begin_slow_start(upstream, known.cold_until);
  } else if (is_new || is_restarted || was_silent) {
    begin_slow_start(upstream, now);
  }
}

void placement::begin_slow_start(upstream_index upstream, time_point at) {
  const auto first_turn =
      cold_budget_.rank_fraction(directory_.at(upstream).record.key);
  if (state_of(upstream).pacing.begin(at, first_turn)) {
    slow_start_changes_.push_back({upstream, true});
  }
}

void placement::expire_slow_starts(time_point now) {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (states_[i].pacing.expire(now)) {
      slow_start_changes_.push_back(
          {upstream_index(static_cast<std::uint32_t>(i)), false});
    }
  }
}

std::vector<slow_start_change> placement::take_slow_start_changes() {
  return std::exchange(slow_start_changes_, {});
}

std::size_t placement::slow_starts() const {
  return static_cast<std::size_t>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& state) { return state.pacing.is_active(); }));
}

void placement::reset_handshake_health() {
  for (auto& state : states_) {
    state.health.reset();
  }
}

int placement::unanswered(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < states_.size() ? states_[position].health.unanswered() : 0;
}

bool placement::is_silent(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < states_.size() && states_[position].health.is_silent();
}

}  // namespace rosemarydrum
