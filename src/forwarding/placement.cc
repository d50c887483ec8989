#include "rosemarydrum/forwarding/placement.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {

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
  directory_.for_each([&](upstream_index index, const known_upstream& known) {
    if (known.record.data_centre == data_centre &&
        known.takes_flows(confirmed_)) {
      begin_slow_start(index, until);
    }
  });
}

bool placement::is_cold(const known_upstream& known,
                        const upstream_state& state, time_point now) const {
  if (known.cold_until > now || state.assumed_cold_until > now ||
      state.restart.holds(confirmed_, entries_complete_, now)) {
    return true;
  }
  const auto found = cold_data_centres_.find(known.record.data_centre);
  return found != cold_data_centres_.end() && found->second > now;
}

void placement::on_placed(upstream_index upstream, bool uses_cold_budget,
                          time_point now) {
  auto& state = state_of(upstream);
  ++state.in_flight;
  state.pacing.on_placed();
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

void placement::on_whole_answer(upstream_index upstream, duration took,
                                time_point now) {
  auto& pacing = state_of(upstream).pacing;
  if (!pacing.is_active()) {
    return;
  }
  const auto& usual =
      service_flow_time_[directory_.at(upstream).record.service];
  if (usual.is_exceeded(took)) {
    pacing.on_slow_answer(now - took, now);
  } else {
    pacing.on_good_answer(now - took, now);
  }
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
