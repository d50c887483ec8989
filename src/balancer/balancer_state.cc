#include "balancer/balancer_state.h"

#include <algorithm>
#include <set>

#include "rosemarydrum/rendezvous.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

/// Number of balancers in a data centre that read the store.
constexpr std::size_t store_reader_count = 2;

/// Returns the configuration for membership: `current`, with the bootstrap
/// peers as the balancers of the own data centre until its document lists some.
configuration with_bootstrap(configuration current,
                             const balancer_settings& settings) {
  auto& own = current.data_centres[settings.data_centre];
  if (own.balancers.empty()) {
    own.id = settings.data_centre;
    own.balancers = settings.bootstrap;
  }
  return current;
}

}  // namespace

balancer::state::state(balancer_settings initial_settings,
                       time_point start_time)
    : started(start_time),
      settings(std::move(initial_settings)),
      tokens(settings.token_secret),
      events(settings.self),
      config(start_time),
      members(settings.self, settings.data_centre),
      slots({.self = settings.self, .data_centre = settings.data_centre}),
      leases(settings.self, start_time),
      owner({.self = settings.self}, tokens, settings.seed),
      witness(settings.self) {
  members.set_configured(with_bootstrap({}, settings));
}

bool balancer::state::is_serving_now(time_point now) const {
  return !leaving && config.is_ready(now) &&
         !config.current().is_out(settings.data_centre);
}

bool balancer::state::reads_store(time_point now) const {
  auto readers = members.serving(settings.data_centre, now);
  if (!config.is_ready(now)) {
    // There may be no peer that could send the configuration.
    return true;
  }
  readers = rendezvous_order(value_of(settings.data_centre), readers);
  readers.resize(std::min(readers.size(), store_reader_count));
  return std::find(readers.begin(), readers.end(), settings.self.id) !=
         readers.end();
}

const endpoint* balancer::state::address_of(balancer_id id) const {
  for (const auto& [_, centre] : config.current().data_centres) {
    for (const auto& entry : centre.balancers) {
      if (entry.id == id) {
        return &entry.address;
      }
    }
  }
  for (const auto& entry : settings.bootstrap) {
    if (entry.id == id) {
      return &entry.address;
    }
  }
  return nullptr;
}

balancer_run balancer::state::witness_for(const flow_key& flow,
                                          time_point now) const {
  const auto order = rendezvous_order(
      std::hash<flow_key>{}(flow), members.serving(settings.data_centre, now));
  for (const auto id : order) {
    if (id != settings.self.id && members.run_of(id) != incarnation{}) {
      return {id, members.run_of(id)};
    }
  }
  // No other serving balancer is known that could keep the second record.
  return settings.self;
}

bytes balancer::state::fresh_token(const flow_key& flow, upstream_run upstream,
                                   time_point now) const {
  token t;
  t.flow = flow;
  t.upstream = upstream;
  // Balancers that agree on which members are live choose the same owner, so
  // that all tokens of a flow name one owner.
  const auto order = rendezvous_order(
      std::hash<flow_key>{}(flow), members.serving(settings.data_centre, now));
  std::vector<balancer_run> serving_runs;
  for (const auto id : order) {
    const auto run =
        id == settings.self.id ? settings.self.run : members.run_of(id);
    if (run != incarnation{}) {
      serving_runs.push_back({id, run});
    }
  }
  if (leaving && serving_runs.size() > 1) {
    std::erase(serving_runs, settings.self);
  }
  t.owner = serving_runs.empty() ? settings.self : serving_runs.front();
  // If only one balancer is left to choose from, no other can keep the second
  // record, so the owner is also the witness.
  t.witness = serving_runs.size() < 2 ? t.owner : serving_runs[1];
  t.expires = runtime_clock::to_unix(now + token_lifetime);
  return tokens.seal(t);
}

std::vector<data_centre_id> balancer::state::spill_targets() const {
  std::vector<data_centre_id> targets;
  for (const auto& [id, centre] : config.current().data_centres) {
    if (id != settings.data_centre && centre.state == service_state::in) {
      targets.push_back(id);
    }
  }
  return targets;
}

void balancer::state::on_configuration_change(time_point now, actions& out) {
  const auto& current = config.current();
  members.set_configured(with_bootstrap(current, settings));
  const auto cell = members.configured(settings.data_centre);
  leases.set_members(cell);
  slots.set_members(cell);
  slots.set_configuration(current, now, out);

  std::set<upstream_id> usable_upstreams;
  auto previous_addresses = std::move(upstream_addresses_);
  upstream_addresses_.clear();
  for (const auto& [id, target] : current.services) {
    for (const auto& entry : target.upstreams) {
      if (!current.is_out(entry.data_centre)) {
        upstream_addresses_[entry.address] = {id, entry.id};
        usable_upstreams.insert(entry.id);
      }
    }
  }
  for (const auto& [_, previous] : previous_addresses) {
    if (!usable_upstreams.contains(previous.second)) {
      owner.on_upstream_lost(previous.second, now, out);
      flows.erase_upstream(previous.second);
    }
  }
  record_data_centre_changes(out);
}

void balancer::state::record_data_centre_changes(actions& out) {
  const auto& current = config.current();
  for (const auto& [id, centre] : current.data_centres) {
    const bool is_out = centre.state == service_state::out;
    if (is_out == data_centres_out_.contains(id)) {
      continue;
    }
    event_record event;
    event.id = is_out ? event_id::data_centre_out : event_id::data_centre_in;
    event.data_centre = id;
    event.configuration = current.highest;
    out.push_back(record_event{event});
    if (is_out) {
      data_centres_out_.insert(id);
    } else {
      data_centres_out_.erase(id);
    }
  }
}

}  // namespace rosemarydrum
