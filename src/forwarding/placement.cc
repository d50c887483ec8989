#include "rosemarydrum/forwarding/placement.h"

#include <algorithm>

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

placement::placement(placement_settings settings,
                     const upstream_directory& directory)
    : settings_(std::move(settings)),
      directory_(directory),
      cold_budget_(settings_.self),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)) {}

void placement::set_members(const std::vector<std::string>& names) {
  cold_budget_.set_members(names);
}

void placement::set_out(const std::string& data_centre, bool out) {
  if (out) {
    out_data_centres_.insert(data_centre);
  } else {
    out_data_centres_.erase(data_centre);
  }
}

bool placement::is_out(const std::string& data_centre) const {
  return out_data_centres_.contains(data_centre);
}

void placement::treat_as_cold(const std::string& data_centre,
                              time_point until) {
  cold_data_centres_[data_centre] = until;
}

bool placement::is_cold(const known_upstream& known,
                        const upstream_state& state, time_point now) const {
  if (known.cold_until > now || state.assumed_cold_until > now) {
    return true;
  }
  const auto found = cold_data_centres_.find(known.record.data_centre);
  return found != cold_data_centres_.end() && found->second > now;
}

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

double placement::score(const known_upstream& known,
                        const upstream_state& state, double failures,
                        const flow_time_estimate& service_flow_time,
                        time_point now) const {
  const bool is_remote = known.record.data_centre != settings_.data_centre;
  const double flows =
      state.in_flight + state.idle * idle_flow_load +
      std::max(failures - ignored_failures, 0.0) * failed_flow_load +
      (is_remote ? remote_flow_penalty : 0.0);
  const double slowness = state.flow_time.slowness(service_flow_time, now);
  // The term `slowness - 1` ranks idle slow upstreams below idle fast ones.
  return (flows * slowness + slowness - 1) / known.record.slots;
}

std::optional<placement_choice> placement::choose(
    const std::string& service, double cold_flows_per_second,
    std::optional<upstream_index> previous, bool may_repeat, time_point now) {
  best_candidate regular;
  best_candidate cold;
  best_candidate last_resort;
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
    if (index == previous || state.health.is_backed_off(now) ||
        outliers_.is_ejected(index)) {
      last_resort.consider(candidate, rank, random_);
    } else if (counts_as_cold) {
      cold.consider(candidate, rank, random_);
    } else {
      // Silent upstreams are ranked together with healthy ones. If they were
      // only a last resort, they would not be retried while others are healthy.
      regular.consider(candidate, rank, random_);
    }
  }
  for (const auto* best : {&regular, &cold, &last_resort}) {
    if (auto chosen = best->chosen()) {
      chosen->candidates = candidates;
      return chosen;
    }
  }
  return std::nullopt;
}

void placement::on_placed(upstream_index upstream, bool uses_cold_budget,
                          time_point now) {
  auto& state = state_of(upstream);
  ++state.in_flight;
  if (uses_cold_budget) {
    state.cold_flow_at = now;
  }
}

void placement::on_load(upstream_index upstream, flow_load previous,
                        flow_load load) {
  auto& state = state_of(upstream);
  const auto counter = [&state](flow_load of) {
    return of == flow_load::active ? &state.in_flight
           : of == flow_load::idle ? &state.idle
                                   : nullptr;
  };
  // The counters start at 0 again when an upstream is forgotten.
  if (auto* flows = counter(previous); flows != nullptr && *flows > 0) {
    --*flows;
  }
  if (auto* flows = counter(load)) {
    ++*flows;
  }
}

void placement::on_flow_time(upstream_index upstream, duration took,
                             time_point now) {
  state_of(upstream).flow_time.add(took, now);
  service_flow_time_[directory_.at(upstream).record.service].add(took, now);
}

void placement::forget(upstream_index upstream) {
  state_of(upstream) = {};
  outliers_.forget(upstream);
}

std::uint32_t placement::in_flight(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < states_.size() ? states_[position].in_flight : 0;
}

upstream_counts placement::count_upstreams(const std::string& service,
                                           time_point now) const {
  upstream_counts counted;
  for (const auto index : directory_.of_service(service)) {
    const auto& known = directory_.at(index);
    const auto position = value_of(index);
    static const upstream_state unused;
    const auto& state = position < states_.size() ? states_[position] : unused;
    counted.listed += known.state == listing::listed ? 1 : 0;
    counted.draining += known.record.draining ? 1 : 0;
    counted.cold += is_cold(known, state, now) ? 1 : 0;
    counted.silent += is_silent(index) ? 1 : 0;
    const bool out = is_out(known.record.data_centre);
    counted.out += out ? 1 : 0;
    counted.unreachable +=
        !out && known.takes_flows(confirmed_) && is_silent(index) ? 1 : 0;
  }
  return counted;
}

placement::upstream_state& placement::state_of(upstream_index upstream) {
  const auto position = value_of(upstream);
  if (position >= states_.size()) {
    states_.resize(position + 1);
  }
  return states_[position];
}

}  // namespace rosemarydrum
