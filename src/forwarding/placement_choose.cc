#include <algorithm>
#include <array>

#include "rosemarydrum/forwarding/placement.h"

// The choice among the upstreams of a service.

namespace rosemarydrum {
namespace {

/// Keeps the candidate with the lowest score. Ties are broken uniformly at
/// random.
class best_candidate {
 public:
  void consider(const placement_choice& candidate, double score,
                std::minstd_rand& random) {
    if (!chosen_ || score < score_) {
      ties_ = 1;
      score_ = score;
      chosen_ = candidate;
    } else if (score == score_ && random() % ++ties_ == 0) {
      chosen_ = candidate;
    }
  }
  const std::optional<placement_choice>& chosen() const { return chosen_; }

 private:
  std::uint32_t ties_ = 0;
  double score_ = 0;
  std::optional<placement_choice> chosen_;
};

}  // namespace

bool placement::is_within_cold_budget(double cold_flows_per_second,
                                      upstream_key upstream,
                                      const upstream_state& state, bool is_cold,
                                      time_point now) const {
  const double rate_limit =
      cold_flows_per_second * settings_.cold_factor + settings_.cold_extra;
  if (is_cold) {
    return cold_budget_.is_assigned(upstream) &&
           now - state.cold_flow_at >=
               cold_flow_budget::assigned_interval(rate_limit);
  }
  return now - state.cold_flow_at >= cold_budget_.shared_interval(rate_limit);
}

bool placement::is_remote(const known_upstream& known) const {
  return known.record.data_centre != settings_.data_centre;
}

double placement::score(const known_upstream& known,
                        const upstream_state& state, double failures,
                        const flow_time_estimate& service_flow_time,
                        time_point now) const {
  const double flows =
      state.in_flight + state.idle * idle_flow_load +
      std::max(failures - ignored_failures, 0.0) * failed_flow_load +
      (is_remote(known) ? remote_flow_penalty : 0.0);
  const double slowness = state.flow_time.slowness(service_flow_time, now);
  // The term `slowness - 1` ranks idle slow upstreams below idle fast ones.
  return (flows * slowness + slowness - 1) / known.record.slots;
}

placement::candidate_group placement::group_of(
    upstream_index index, const upstream_state& state, bool is_cold,
    std::optional<upstream_index> previous, time_point now) const {
  if (index == previous || state.health.is_backed_off(now) ||
      outliers_.is_ejected(index)) {
    return candidate_group::last_resort;
  }
  // Silent upstreams are ranked together with healthy ones. If they were only a
  // last resort, they would not be retried while others are healthy.
  return is_cold ? candidate_group::cold : candidate_group::regular;
}

std::optional<placement_choice> placement::choose(
    const std::string& service, double cold_flows_per_second,
    std::optional<upstream_index> previous, bool may_repeat, time_point now) {
  std::array<best_candidate, static_cast<std::size_t>(candidate_group::count)>
      best;
  const auto consider = [&](candidate_group group, const placement_choice& each,
                            double rank) {
    best[static_cast<std::size_t>(group)].consider(each, rank, random_);
  };
  starting_.clear();
  warm_slots slots;
  std::uint32_t candidates = 0;
  const auto& service_flow_time = service_flow_time_[service];
  for (const auto index : directory_.of_service(service)) {
    const auto& known = directory_.at(index);
    if (!known.takes_flows(confirmed_) || is_out(known.record.data_centre) ||
        (index == previous && !may_repeat)) {
      continue;
    }
    auto& state = state_of(index);
    const bool counts_as_cold = is_cold(known, state, now);
    const bool is_silent = state.health.is_silent();
    if ((counts_as_cold || is_silent) &&
        !is_within_cold_budget(cold_flows_per_second, known.record.key, state,
                               counts_as_cold, now)) {
      continue;
    }
    const placement_choice candidate{index,
                                     counts_as_cold ? placement_reason::cold
                                     : is_silent
                                         ? placement_reason::probe
                                         : placement_reason::least_loaded,
                                     state.in_flight};
    ++candidates;
    const double rank = score(known, state, outliers_.failures_at(index, now),
                              service_flow_time, now);
    const auto group = group_of(index, state, counts_as_cold, previous, now);
    if (group == candidate_group::regular && !is_silent) {
      (is_remote(known) ? slots.remote : slots.local) += known.record.slots;
      if (state.pacing.is_active()) {
        starting_.push_back({candidate, rank, false});
        continue;
      }
    }
    consider(group, candidate, rank);
  }
  earn_turns(slots, now);
  for (const auto& each : starting_) {
    consider(
        each.has_turn ? candidate_group::regular : candidate_group::held_back,
        each.choice, each.rank);
  }
  const auto at = [&best](candidate_group group) -> const auto& {
    return best[static_cast<std::size_t>(group)].chosen();
  };
  if (const auto& regular = at(candidate_group::regular);
      regular && needs_relief(*regular, at(candidate_group::held_back), now)) {
    std::swap(best[static_cast<std::size_t>(candidate_group::regular)],
              best[static_cast<std::size_t>(candidate_group::held_back)]);
  }
  for (const auto& group : best) {
    if (auto chosen = group.chosen()) {
      chosen->candidates = candidates;
      spend_turns(*chosen, now);
      return chosen;
    }
  }
  return std::nullopt;
}

// The best upstream rejects requests, while one in slow start rejects none and
// has none from here.
bool placement::needs_relief(const placement_choice& regular,
                             const std::optional<placement_choice>& held_back,
                             time_point now) const {
  const auto rejects = [&](const placement_choice& each) {
    return outliers_.failures_at(each.upstream, now) > ignored_failures;
  };
  return held_back && held_back->in_flight == 0 && rejects(regular) &&
         !rejects(*held_back);
}

void placement::earn_turns(const warm_slots& slots, time_point now) {
  for (auto& each : starting_) {
    const auto& known = directory_.at(each.choice.upstream);
    const double usual_share =
        known.record.slots / (is_remote(known) ? slots.remote : slots.local);
    each.has_turn =
        state_of(each.choice.upstream).pacing.earn_turn(usual_share, now);
  }
}

// A turn that is lost to another upstream in slow start is kept.
void placement::spend_turns(const placement_choice& chosen, time_point now) {
  auto& chosen_pacing = state_of(chosen.upstream).pacing;
  for (const auto& each : starting_) {
    auto& pacing = state_of(each.choice.upstream).pacing;
    if (!each.has_turn) {
      continue;
    }
    if (each.choice.upstream == chosen.upstream) {
      pacing.use_turn();
    } else if (!chosen_pacing.is_active() &&
               pacing.pass_turn(each.choice.in_flight <= chosen.in_flight,
                                now)) {
      slow_start_changes_.push_back({each.choice.upstream, false});
    }
  }
}

}  // namespace rosemarydrum
