#include <algorithm>

#include "slots/slot_table_state.h"

/// Running grants and limits that balancers exchange.
namespace rosemarydrum {

using detail::upstream_slots;

void slot_table::on_report(balancer_run from, const grants_report& report,
                           time_point now, actions& out) {
  state_->last_now = now;
  if (value_of(report.shard) >= shard_count) {
    return;
  }
  detail::shard_authority& authority = state_->shards[value_of(report.shard)];
  // While the shard has no decider, this balancer's requests on grants of the
  // previous decider use its share.
  const bool own_share = authority.mode == slot_authority::share &&
                         from.id == state_->settings.self.id;
  if (!own_share && !authority.accepts_report(from.id)) {
    return;
  }
  for (const running_grant& running : report.grants) {
    if (shard_of(running.service) == report.shard) {
      state_->add_running(running, from, now);
    }
  }
  authority.awaited.erase(from.id);
  state_->process_waiting(report.shard, now, out);
}

void slot_table::observe_latency(const slot_release& release) {
  const auto service = state_->services.find(release.service);
  if (service == state_->services.end()) {
    return;
  }
  if (upstream_slots* upstream = service->second.find(release.upstream)) {
    upstream->health.add_latency_sample(duration(release.latency_us));
  }
}

void slot_table::on_handover(const lease_handover& handover, time_point now,
                             actions&) {
  state_->last_now = now;
  for (const running_grant& running : handover.grants) {
    if (shard_of(running.service) == handover.shard) {
      state_->add_running(running, {}, now);
    }
  }
  const shard_id held[] = {handover.shard};
  on_limits(handover.limits, held);
}

void slot_table::on_limits(std::span<const upstream_limit> limits,
                           std::span<const shard_id> held) {
  const auto is_decided_here = [this](service_id service) {
    return state_->authority_of(service).mode == slot_authority::sole;
  };
  for (const upstream_limit& limit : limits) {
    const auto service = state_->services.find(limit.service);
    if (service == state_->services.end() || is_decided_here(limit.service)) {
      continue;
    }
    if (upstream_slots* upstream = service->second.find(limit.upstream.id)) {
      upstream->health.adopt(limit);
    }
  }
  if (limits.size() >= detail::max_gossiped_limits) {
    return;
  }
  const auto is_unlisted = [limits](service_id service, upstream_id upstream) {
    return std::none_of(
        limits.begin(), limits.end(), [&](const upstream_limit& limit) {
          return limit.service == service && limit.upstream.id == upstream;
        });
  };
  for (auto& [id, service] : state_->services) {
    if (is_decided_here(id) ||
        std::find(held.begin(), held.end(), shard_of(id)) == held.end()) {
      continue;
    }
    for (upstream_slots& upstream : service.upstreams()) {
      if (upstream.enabled && is_unlisted(id, upstream.id) &&
          state_->last_now - upstream.first_seen >=
              detail::max_configuration_delay) {
        upstream.health.adopt({id, {upstream.id, {}}, upstream.health.slots()});
      }
    }
  }
}

std::vector<running_grant> slot_table::running(shard_id shard,
                                               time_point now) const {
  return state_->ledger.running(shard, now);
}

std::vector<upstream_limit> slot_table::limits() const {
  std::vector<upstream_limit> result;
  for (std::uint16_t shard = 0; shard < shard_count; ++shard) {
    const auto mode = state_->shards[shard].mode;
    if (mode == slot_authority::none) {
      continue;
    }
    for (const auto& limit : limits(shard_id(shard))) {
      // Without a decider, limits are included only for upstreams whose run is
      // known. The others may be warm.
      if (mode == slot_authority::sole || limit.upstream.run != incarnation{}) {
        result.push_back(limit);
      }
    }
  }
  result.resize(std::min(result.size(), detail::max_gossiped_limits));
  return result;
}

std::vector<upstream_limit> slot_table::limits(shard_id shard) const {
  std::vector<upstream_limit> result;
  for (const auto& [id, service] : state_->services) {
    if (shard_of(id) != shard) {
      continue;
    }
    for (const upstream_slots& upstream : service.upstreams()) {
      if (upstream.enabled && upstream.health.state() != health_state::warm) {
        result.push_back({id,
                          {upstream.id, upstream.health.run()},
                          upstream.health.limit()});
      }
    }
  }
  return result;
}

}  // namespace rosemarydrum
