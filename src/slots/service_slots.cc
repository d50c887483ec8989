#include "slots/service_slots.h"

#include <algorithm>

#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum::detail {
namespace {

bool contains(const std::vector<upstream_id>& ids, upstream_id wanted) {
  return std::find(ids.begin(), ids.end(), wanted) != ids.end();
}

bool centre_is_out(const configuration& current, data_centre_id id) {
  const auto found = current.data_centres.find(id);
  return found != current.data_centres.end() &&
         found->second.state == service_state::out;
}

// Whether the ask may go to `upstream` at all. An upstream that is drained
// takes only requests of its flows. Upstreams without a slot in this balancer's
// share count, because a decider soon takes over in most cases.
bool could_take(const upstream_slots& upstream, bool pinned) {
  return upstream.open || (pinned && upstream.draining);
}

}  // namespace

std::uint32_t usable_limit(const upstream_slots& upstream,
                           const grant_rules& rules) {
  if (!upstream.open && !upstream.draining) {
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
  if (rules.now < upstream.paused_until) {
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
                   [&](const auto& known) { return known.id == upstream; });
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
  const bool own_out = centre_is_out(current, own);
  for (upstream_slots& known : upstreams_) {
    known.listed = false;
    known.draining = false;
  }
  elsewhere_.clear();
  static const std::vector<upstream> none;
  for (const upstream& entry : configured ? configured->upstreams : none) {
    if (entry.data_centre != own) {
      if (entry.state == service_state::in &&
          !centre_is_out(current, entry.data_centre)) {
        elsewhere_.push_back(entry.id);
      }
      continue;
    }
    upstream_slots* known = find(entry.id);
    if (!known) {
      known = &upstreams_.emplace_back(entry.id, entry.slots, now);
    }
    known->listed = true;
    known->health.set_slots(entry.slots);
    const bool open = entry.state == service_state::in && !own_out;
    known->draining = !open && !own_out;
    if (open && !known->open) {
      // It has been away and has probably restarted.
      known->health.restart();
      known->first_seen = now;
    } else if (!open && known->open) {
      add_event(out,
                own_out ? event_id::upstream_out : event_id::upstream_draining,
                entry.id);
    }
    known->open = open;
  }
  for (upstream_slots& known : upstreams_) {
    if (!known.listed && known.open) {
      known.open = false;
      add_event(out, event_id::upstream_out, known.id);
    }
  }
}

void service_slots::set_members(balancer_id self,
                                std::span<const balancer_id> members) {
  for (upstream_slots& known : upstreams_) {
    const auto order =
        rendezvous_order(mix(value_of(id_), value_of(known.id)), members);
    known.own_share = 0;
    for (std::size_t i = 0; !order.empty() && i < known.health.slots(); ++i) {
      known.own_share += order[i % order.size()] == self ? 1 : 0;
    }
  }
}

error_kind service_slots::impossible(const slot_ask& ask) const {
  const bool pinned = ask.pinned != upstream_id{};
  for (const upstream_slots& known : upstreams_) {
    if (!pinned || known.id == ask.pinned) {
      if (could_take(known, pinned)) {
        return error_kind::none;
      }
    }
  }
  return pinned && !contains(elsewhere_, ask.pinned) ? error_kind::flow_ended
                                                     : error_kind::no_capacity;
}

upstream_slots* service_slots::pick(const slot_ask& ask,
                                    const grant_rules& rules,
                                    std::uint64_t seed) {
  if (ask.pinned != upstream_id{}) {
    upstream_slots* own = find(ask.pinned);
    return own && is_free(*own, rules) ? own : nullptr;
  }
  // Tried upstreams count only if there is no other.
  const bool avoiding =
      !ask.avoid.empty() &&
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& known) {
        return could_take(known, false) && !contains(ask.avoid, known.id);
      });
  const bool share = rules.mode == slot_authority::share;
  upstream_slots* best = nullptr;
  std::uint64_t best_load = 0;
  std::uint64_t best_limit = 1;
  double best_recent = 0;
  std::uint64_t best_weight = 0;
  for (upstream_slots& known : upstreams_) {
    if (!known.open || !is_free(known, rules) ||
        (avoiding && contains(ask.avoid, known.id))) {
      continue;
    }
    const std::uint64_t load = share ? known.own_in_flight : known.in_flight;
    const std::uint64_t limit = usable_limit(known, rules);
    const std::uint64_t ours = load * best_limit;
    const std::uint64_t theirs = best_load * limit;
    if (best && ours > theirs) {
      continue;
    }
    const double recent = known.recent.at(known.in_flight, rules.now) /
                          static_cast<double>(limit);
    const std::uint64_t weight = mix(seed, value_of(known.id));
    if (best && ours == theirs &&
        (recent > best_recent ||
         (recent == best_recent && weight <= best_weight))) {
      continue;
    }
    best = &known;
    best_load = load;
    best_limit = limit;
    best_recent = recent;
    best_weight = weight;
  }
  return best;
}

bool service_slots::may_spill(const grant_rules& rules,
                              int spill_reserve) const {
  std::uint64_t total = 0;
  std::uint64_t free = 0;
  for (const upstream_slots& known : upstreams_) {
    const std::uint64_t usable = known.open ? usable_limit(known, rules) : 0;
    total += usable;
    free += usable > known.in_flight ? usable - known.in_flight : 0;
  }
  return free > 0 &&
         (free - 1) * static_cast<std::uint64_t>(spill_reserve) >= total;
}

bool service_slots::has_free(const grant_rules& rules) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(),
                     [&](const auto& known) { return is_free(known, rules); });
}

bool service_slots::may_grant(const grant_rules& rules) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(),
                     [&](const auto& known) {
                       return known.open && usable_limit(known, rules) > 0;
                     });
}

void service_slots::expect_latency(upstream_slots& cold) const {
  if (cold.health.usual_latency() != duration{}) {
    return;
  }
  duration sum{};
  int known = 0;
  for (const upstream_slots& other : upstreams_) {
    if (other.health.knows_latency()) {
      sum += other.health.usual_latency();
      ++known;
    }
  }
  if (known > 0) {
    cold.health.expect_latency(sum / known);
  }
}

bool service_slots::prune() {
  std::erase_if(upstreams_, [](const upstream_slots& known) {
    return !known.listed && known.in_flight == 0;
  });
  return upstreams_.empty() && elsewhere_.empty() && queue_.empty();
}

}  // namespace rosemarydrum::detail
