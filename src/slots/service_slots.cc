#include "slots/service_slots.h"

#include <algorithm>

#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum::detail {
namespace {

bool contains(const std::vector<upstream_id>& ids, upstream_id wanted) {
  return std::find(ids.begin(), ids.end(), wanted) != ids.end();
}

bool is_centre_out(const configuration& current, data_centre_id id) {
  const auto found = current.data_centres.find(id);
  return found != current.data_centres.end() &&
         found->second.state == service_state::out;
}

// Returns whether `upstream` accepts an ask, now or when a slot is free. An
// upstream that is drained accepts only asks pinned to it. The result does not
// depend on this balancer's share of its slots, because a decider soon takes
// over in most cases.
bool accepts_ask(const upstream_slots& upstream, bool pinned) {
  return upstream.enabled || (pinned && upstream.draining);
}

}  // namespace

std::uint32_t usable_limit(const upstream_slots& upstream,
                           const grant_rules& rules) {
  if (!upstream.enabled && !upstream.draining) {
    return 0;
  }
  const std::uint32_t limit = upstream.health.limit();
  const bool warm = upstream.health.state() == health_state::warm;
  switch (rules.mode) {
    case slot_authority::sole:
      if (rules.quarantine) {
        return warm ? limit - 1 : 0;
      }
      return limit;
    case slot_authority::share:
      return warm ? upstream.own_share : 0;
    case slot_authority::none:
      break;
  }
  return 0;
}

bool is_free(const upstream_slots& upstream, const grant_rules& rules) {
  const std::uint32_t usable = usable_limit(upstream, rules);
  if (rules.now < upstream.backoff_until) {
    return false;
  }
  if (rules.mode == slot_authority::share) {
    return upstream.own_in_flight < usable &&
           upstream.in_flight < upstream.health.limit();
  }
  return upstream.in_flight < usable;
}

upstream_slots* service_slots::find(upstream_id upstream) {
  const auto found =
      std::find_if(upstreams_.begin(), upstreams_.end(),
                   [&](const auto& slots) { return slots.id == upstream; });
  return found == upstreams_.end() ? nullptr : &*found;
}

void service_slots::add_event(actions& out, event_id id,
                              upstream_id upstream) const {
  event_record event;
  event.id = id;
  event.service = id_;
  event.upstream = upstream;
  out.emplace_back(record_event{event});
}

void service_slots::configure(const service* configured,
                              const configuration& current, data_centre_id own,
                              time_point now, actions& out) {
  const bool own_centre_out = is_centre_out(current, own);
  for (upstream_slots& known : upstreams_) {
    known.listed = false;
    known.draining = false;
  }
  remote_upstreams_.clear();
  static const std::vector<upstream> none;
  for (const upstream& entry : configured ? configured->upstreams : none) {
    if (entry.data_centre != own) {
      if (entry.state == service_state::in &&
          !is_centre_out(current, entry.data_centre)) {
        remote_upstreams_.push_back(entry.id);
      }
      continue;
    }
    upstream_slots* known = find(entry.id);
    if (!known) {
      known = &upstreams_.emplace_back(entry.id, entry.slots, now);
    }
    known->listed = true;
    known->health.set_slots(entry.slots);
    const bool enabled = entry.state == service_state::in && !own_centre_out;
    known->draining = !enabled && !own_centre_out;
    if (enabled && !known->enabled) {
      // The upstream is new, or was out of service and has probably restarted.
      known->health.on_possible_restart();
      known->first_seen = now;
    } else if (!enabled && known->enabled) {
      add_event(
          out,
          own_centre_out ? event_id::upstream_out : event_id::upstream_draining,
          entry.id);
    }
    known->enabled = enabled;
  }
  for (upstream_slots& known : upstreams_) {
    if (!known.listed && known.enabled) {
      known.enabled = false;
      add_event(out, event_id::upstream_out, known.id);
    }
  }
}

void service_slots::set_members(balancer_id self,
                                std::span<const balancer_id> members) {
  for (upstream_slots& upstream : upstreams_) {
    const auto order =
        rendezvous_order(mix(value_of(id_), value_of(upstream.id)), members);
    upstream.own_share = 0;
    for (std::size_t i = 0; !order.empty() && i < upstream.health.slots();
         ++i) {
      upstream.own_share += order[i % order.size()] == self ? 1 : 0;
    }
  }
}

error_kind service_slots::unservable_error(const slot_ask& ask) const {
  const bool pinned = ask.pinned != upstream_id{};
  for (const upstream_slots& upstream : upstreams_) {
    if (!pinned || upstream.id == ask.pinned) {
      if (accepts_ask(upstream, pinned)) {
        return error_kind::none;
      }
    }
  }
  return pinned && !contains(remote_upstreams_, ask.pinned)
             ? error_kind::flow_ended
             : error_kind::no_capacity;
}

upstream_slots* service_slots::pick(const slot_ask& ask,
                                    const grant_rules& rules,
                                    std::uint64_t seed) {
  if (ask.pinned != upstream_id{}) {
    upstream_slots* pinned = find(ask.pinned);
    return pinned && is_free(*pinned, rules) ? pinned : nullptr;
  }
  // Upstreams that were tried before are used only if there is no other.
  const bool avoiding = !ask.avoid.empty() &&
                        std::any_of(upstreams_.begin(), upstreams_.end(),
                                    [&](const auto& upstream) {
                                      return accepts_ask(upstream, false) &&
                                             !contains(ask.avoid, upstream.id);
                                    });
  const bool share = rules.mode == slot_authority::share;
  upstream_slots* best = nullptr;
  std::uint64_t best_load = 0;
  std::uint64_t best_limit = 1;
  double best_recent = 0;
  std::uint64_t best_tie_break = 0;
  for (upstream_slots& upstream : upstreams_) {
    if (!upstream.enabled || !is_free(upstream, rules) ||
        (avoiding && contains(ask.avoid, upstream.id))) {
      continue;
    }
    const std::uint64_t load =
        share ? upstream.own_in_flight : upstream.in_flight;
    const std::uint64_t limit = usable_limit(upstream, rules);
    // Compares load / limit without division.
    const std::uint64_t scaled_load = load * best_limit;
    const std::uint64_t best_scaled_load = best_load * limit;
    if (best && scaled_load > best_scaled_load) {
      continue;
    }
    const double recent = upstream.recent.at(upstream.in_flight, rules.now) /
                          static_cast<double>(limit);
    const std::uint64_t tie_break = mix(seed, value_of(upstream.id));
    if (best && scaled_load == best_scaled_load &&
        (recent > best_recent ||
         (recent == best_recent && tie_break <= best_tie_break))) {
      continue;
    }
    best = &upstream;
    best_load = load;
    best_limit = limit;
    best_recent = recent;
    best_tie_break = tie_break;
  }
  return best;
}

bool service_slots::may_spill(const grant_rules& rules,
                              int spill_reserve) const {
  std::uint64_t total = 0;
  std::uint64_t free = 0;
  for (const upstream_slots& upstream : upstreams_) {
    const std::uint64_t usable =
        upstream.enabled ? usable_limit(upstream, rules) : 0;
    total += usable;
    free += usable > upstream.in_flight ? usable - upstream.in_flight : 0;
  }
  return free > 0 &&
         (free - 1) * static_cast<std::uint64_t>(spill_reserve) >= total;
}

bool service_slots::has_free(const grant_rules& rules) const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(),
      [&](const auto& upstream) { return is_free(upstream, rules); });
}

bool service_slots::may_grant(const grant_rules& rules) const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(), [&](const auto& upstream) {
        return upstream.enabled && usable_limit(upstream, rules) > 0;
      });
}

void service_slots::set_expected_latency(upstream_slots& upstream) const {
  if (upstream.health.usual_latency() != duration{}) {
    return;
  }
  duration sum{};
  int count = 0;
  for (const upstream_slots& other : upstreams_) {
    if (other.health.has_latency_estimate()) {
      sum += other.health.usual_latency();
      ++count;
    }
  }
  if (count > 0) {
    upstream.health.set_expected_latency(sum / count);
  }
}

bool service_slots::prune() {
  std::erase_if(upstreams_, [](const upstream_slots& upstream) {
    return !upstream.listed && upstream.in_flight == 0;
  });
  return upstreams_.empty() && remote_upstreams_.empty() && queue_.empty();
}

}  // namespace rosemarydrum::detail
