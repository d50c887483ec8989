#include <algorithm>

#include "rosemarydrum/forwarding/placement.h"

// What handshakes, stalled flows and failed requests say of upstreams.

namespace rosemarydrum {
namespace {

/// An upstream fails requests from this decayed number of failures.
constexpr double failing_threshold = 1;
/// Fewer upstreams in a data centre do not tell an overload from faults.
constexpr std::size_t min_judged_upstreams = 4;

}  // namespace

bool placement::on_answered(upstream_index upstream, duration warmup,
                            time_point sent, time_point now) {
  auto& state = state_of(upstream);
  const bool was_silent = state.health.on_answered(sent);
  if (was_silent) {
    state.assumed_cold_until = std::max(state.assumed_cold_until, now + warmup);
  }
  return was_silent;
}

bool placement::on_unanswered(upstream_index upstream, time_point sent,
                              time_point now) {
  auto& state = state_of(upstream);
  const bool became_silent = state.health.on_unanswered(sent, now);
  if (became_silent) {
    spread_retries(state, now);
  }
  return became_silent;
}

void placement::on_unresponsive(upstream_index upstream, time_point now) {
  auto& state = state_of(upstream);
  const bool was_silent = state.health.is_silent();
  state.health.on_unresponsive(now);
  if (!was_silent) {
    spread_retries(state, now);
  }
}

void placement::on_responsive(upstream_index upstream) {
  state_of(upstream).health.reset();
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
  const auto& record = directory_.at(upstream).record;
  const auto service = directory_.of_service(record.service);
  const bool is_single_fault = !is_overloaded(service, record.data_centre, now);
  return outliers_.add(
      upstream, failures,
      is_single_fault ? service : std::span<const upstream_index>{}, now);
}

// If most upstreams of a data centre fail requests, they are overloaded, and
// without some of them the others would have to serve more.
bool placement::is_overloaded(std::span<const upstream_index> service,
                              const std::string& data_centre,
                              time_point now) const {
  std::size_t failing = 0;
  std::size_t all = 0;
  for (const auto each : service) {
    if (directory_.at(each).record.data_centre == data_centre) {
      ++all;
      failing += outliers_.failures_at(each, now) >= failing_threshold ? 1 : 0;
    }
  }
  return all >= min_judged_upstreams && 2 * failing > all;
}

void placement::on_record(upstream_index upstream) {
  state_of(upstream).health.reset();
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
