#include "rosemarydrum/slots/slot_table.h"

#include <algorithm>
#include <utility>

#include "slots/slot_table_state.h"

namespace rosemarydrum {

using detail::granted_slot;
using detail::upstream_slots;

slot_table::slot_table(slot_table_settings settings)
    : state_(std::make_unique<state>(settings)) {}
slot_table::~slot_table() = default;

void slot_table::set_configuration(const configuration& current, time_point now,
                                   actions& out) {
  state_->last_now = now;
  for (const auto& [id, listed] : current.services) {
    state_->services.try_emplace(id, id);
  }
  for (auto& [id, service] : state_->services) {
    const auto listed = current.services.find(id);
    service.configure(
        listed == current.services.end() ? nullptr : &listed->second, current,
        state_->settings.data_centre, now, out);
    service.set_members(state_->settings.self.id, state_->members);
    state_->refuse_unservable(service, now, out);
    state_->grant_waiting(id, service, now, out);
  }
}

void slot_table::set_members(std::span<const balancer_id> members) {
  state_->members.assign(members.begin(), members.end());
  for (auto& [id, service] : state_->services) {
    service.set_members(state_->settings.self.id, members);
  }
}

void slot_table::set_authority(shard_id shard, slot_authority authority,
                               std::span<const balancer_id> reports_from,
                               bool handed_over, time_point now, actions& out) {
  state_->last_now = now;
  if (value_of(shard) >= shard_count) {
    return;
  }
  detail::shard_authority& current = state_->shards[value_of(shard)];
  const bool changed = current.mode != authority;
  current.mode = authority;
  if (changed && authority == slot_authority::sole) {
    current.take_over(reports_from, now + detail::max_run_time +
                                        state_->settings.release_margin);
  }
  if (handed_over) {
    current.on_handed_over();
  }
  if (changed && authority != slot_authority::sole) {
    state_->forget_waiting(shard);
  }
  state_->process_waiting(shard, now, out);
}

slot_authority slot_table::authority(shard_id shard) const {
  return value_of(shard) < shard_count ? state_->shards[value_of(shard)].mode
                                       : slot_authority::none;
}

bool slot_table::may_hand_over(shard_id shard, time_point now) const {
  return authority(shard) == slot_authority::sole &&
         !state_->shards[value_of(shard)].in_quarantine(now);
}

void slot_table::on_ask(balancer_run from, const slot_ask& ask, time_point now,
                        actions& out) {
  state_->last_now = now;
  const detail::ask_key key{from, ask.ask};
  switch (state_->authority_of(ask.service).mode) {
    case slot_authority::none:
      // Not answered: the owner repeats the ask and may know the decider by
      // then.
      return;
    case slot_authority::share:
      if (from.id != state_->settings.self.id) {
        state_->send_refusal(key, error_kind::no_capacity, true, out);
        return;
      }
      break;
    case slot_authority::sole:
      break;
  }
  if (detail::ask_record* record = state_->history.find(key)) {
    state_->handle_repeated_ask(key, *record, ask, now, out);
  } else {
    state_->handle_new_ask(key, ask, now, out);
  }
}

void slot_table::on_withdraw(balancer_run from, std::uint64_t ask) {
  const detail::ask_key key{from, ask};
  const detail::ask_record* record = state_->history.find(key);
  // A granted ask keeps its slot until the owner releases it, because the
  // owner may have sent the request before it withdrew the ask.
  if (record && record->progress == detail::ask_progress::waiting) {
    state_->services.at(record->service)
        .queue()
        .waiting()
        .erase(record->position);
    state_->history.finish(key, error_kind::none, state_->last_now);
  }
}

void slot_table::on_release(balancer_run from, const slot_release& release,
                            time_point now, actions& out) {
  state_->last_now = now;
  const granted_slot* slot = state_->ledger.find(release.grant);
  const bool is_valid =
      slot && slot->service == release.service &&
      slot->upstream == release.upstream &&
      (slot->asked.from.id == balancer_id{} || slot->asked.from.id == from.id);
  const auto service = state_->services.find(release.service);
  if (service == state_->services.end()) {
    return;
  }
  upstream_slots* upstream = service->second.find(release.upstream);
  // A release without a matching grant may be a duplicate, which must not raise
  // the limit.
  const bool affects_health =
      is_valid || release.outcome != attempt_outcome::answered;
  if (upstream && affects_health &&
      !state_->is_contention_shed(*upstream, release, now)) {
    service->second.set_expected_latency(*upstream);
    if (upstream->health.on_release(release) &&
        upstream->health.state() != health_state::ramping) {
      event_record event;
      event.id = upstream->health.state() == health_state::warm
                     ? event_id::upstream_warm
                     : event_id::upstream_cold;
      event.service = release.service;
      event.upstream = release.upstream;
      out.emplace_back(record_event{event});
    }
  }
  if (is_valid) {
    if (upstream) {
      upstream->on_outcome(release.outcome, now);
    }
    if (const auto removed = state_->ledger.remove(release.grant)) {
      state_->free_slot(*removed, now);
    }
  }
  state_->grant_waiting(release.service, service->second, now, out);
}

void slot_table::tick(time_point now, actions& out) {
  state_->last_now = now;
  while (const auto expired = state_->ledger.remove_expired(now)) {
    state_->free_slot(*expired, now);
  }
  for (auto& [id, service] : state_->services) {
    if (!service.queue().empty()) {
      state_->expire_waiting(service, now, out);
      state_->grant_waiting(id, service, now, out);
    }
  }
  state_->history.tick(now);
  if (now < state_->next_prune) {
    return;
  }
  state_->next_prune = now + detail::prune_interval;
  for (auto it = state_->services.begin(); it != state_->services.end();) {
    it = it->second.prune() ? state_->services.erase(it) : std::next(it);
  }
}

std::size_t slot_table::in_flight(service_id service,
                                  upstream_id upstream) const {
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) {
    return 0;
  }
  const upstream_slots* slots = found->second.find(upstream);
  return slots ? slots->in_flight : 0;
}

}  // namespace rosemarydrum
