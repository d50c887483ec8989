#include "slots/slot_table_state.h"

#include <algorithm>

namespace rosemarydrum {

using detail::ask_key;
using detail::ask_progress;
using detail::ask_record;
using detail::granted_slot;
using detail::service_slots;
using detail::upstream_slots;
using detail::waiting_ask;

namespace {

std::uint32_t whole_ms(duration time) {
  const auto count = std::chrono::floor<milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

}  // namespace

// Grant numbers start at a hash of the balancer's id and run, so that the
// grants of successive deciders of one shard have different numbers.
slot_table::state::state(slot_table_settings initial)
    : settings(initial),
      ledger(initial.release_margin),
      next_grant(
          detail::mix(value_of(initial.self.id), value_of(initial.self.run))) {}

detail::shard_authority& slot_table::state::authority_of(service_id service) {
  return shards[value_of(shard_of(service))];
}

detail::grant_rules slot_table::state::rules_of(service_id service,
                                                time_point now) {
  const detail::shard_authority& authority = authority_of(service);
  return {authority.mode, authority.in_quarantine(now), now};
}

bool slot_table::state::is_contention_shed(const upstream_slots& upstream,
                                           const slot_release& release,
                                           time_point now) {
  const detail::grant_rules rules = rules_of(release.service, now);
  const bool exact = rules.mode == slot_authority::sole && !rules.quarantine;
  const incarnation known_run = upstream.health.run();
  const bool restarted =
      known_run != incarnation{} && release.upstream_run != known_run;
  return release.outcome == attempt_outcome::shed && !exact && !restarted;
}

void slot_table::state::handle_new_ask(const ask_key& key, const slot_ask& ask,
                                       time_point now, actions& out) {
  const detail::grant_rules rules = rules_of(ask.service, now);
  const auto found = services.find(ask.service);
  if (found == services.end()) {
    refuse(key, error_kind::no_capacity, now, out);
    return;
  }
  service_slots& service = found->second;
  if (const error_kind error = service.unservable_error(ask);
      error != error_kind::none) {
    refuse(key, error, now, out);
    return;
  }
  const time_point deadline =
      now + milliseconds(std::min(ask.time_left_ms, max_time_left_ms));
  if (whole_ms(deadline - now) == 0) {
    refuse(key, error_kind::deadline_exceeded, now, out);
    return;
  }
  const bool spill = ask.data_centre != settings.data_centre;
  upstream_slots* picked =
      spill && !service.may_spill(rules, settings.spill_reserve)
          ? nullptr
          : service.pick(ask, rules, next_grant);
  if (picked) {
    grant(*picked, {key.from, ask, deadline, now}, now, out);
  } else if (spill) {
    // Not queued, so that the owner can try the next data centre immediately.
    refuse(key, error_kind::no_capacity, now, out);
  } else if (ask.may_spill && !service.may_grant(rules)) {
    // Not recorded, so that a repeat is handled as a new ask.
    send_refusal(key, error_kind::no_capacity, true, out);
  } else {
    enqueue(service, key, ask, deadline, now, out);
  }
}

void slot_table::state::handle_repeated_ask(const ask_key& key,
                                            ask_record& record,
                                            const slot_ask& ask, time_point now,
                                            actions& out) {
  switch (record.progress) {
    case ask_progress::granted:
      if (const granted_slot* slot = ledger.find(record.grant)) {
        send_grant(*slot, now, out);
      }
      break;
    case ask_progress::answered:
      if (record.error != error_kind::none) {
        send_refusal(key, record.error, false, out);
      }
      break;
    case ask_progress::waiting: {
      auto& waiting = services.at(record.service).queue().waiting();
      const auto found = waiting.find(record.position);
      if (ask.may_spill && !services.at(record.service)
                                .may_grant(rules_of(record.service, now))) {
        waiting.erase(found);
        history.forget(key);
        send_refusal(key, error_kind::no_capacity, true, out);
        break;
      }
      found->second.last_asked = now;
      found->second.ask.time_left_ms = ask.time_left_ms;
      break;
    }
  }
}

void slot_table::state::grant(upstream_slots& upstream,
                              const waiting_ask& waiting, time_point now,
                              actions& out) {
  const ask_key key = waiting.key();
  const granted_slot slot{
      grant_id(++next_grant), waiting.ask.service, upstream.id, key,
      std::min<time_point>(waiting.deadline, now + detail::max_run_time)};
  ledger.add(slot);
  upstream.add(is_own(key), now);
  ask_record record;
  record.progress = ask_progress::granted;
  record.service = waiting.ask.service;
  record.grant = slot.grant;
  history.put(key, record);
  send_grant(slot, waiting.last_asked, out);
}

// The owner counts the run time from when it sent the ask, which is not later
// than its arrival here, so its request ends before the slot is free again.
void slot_table::state::send_grant(const granted_slot& slot,
                                   time_point last_asked, actions& out) {
  slot_answer answer;
  answer.ask = slot.asked.ask;
  answer.grant = slot.grant;
  answer.service = slot.service;
  answer.upstream = slot.upstream;
  if (const auto found = services.find(slot.service); found != services.end()) {
    if (const upstream_slots* upstream = found->second.find(slot.upstream)) {
      answer.upstream_run = upstream->health.run();
    }
  }
  answer.run_time_ms = whole_ms(slot.run_deadline - last_asked);
  out.emplace_back(
      send_to_peer{slot.asked.from.id, slot.asked.from.run, answer});
}

void slot_table::state::refuse(const ask_key& key, error_kind error,
                               time_point now, actions& out) {
  history.finish(key, error, now);
  send_refusal(key, error, false, out);
}

void slot_table::state::send_refusal(const ask_key& key, error_kind error,
                                     bool may_wait, actions& out) {
  slot_answer answer;
  answer.ask = key.ask;
  answer.error = error;
  answer.may_wait = may_wait;
  out.emplace_back(send_to_peer{key.from.id, key.from.run, answer});
}

void slot_table::state::add_running(const running_grant& running,
                                    balancer_run owner, time_point now) {
  const auto left =
      std::min(milliseconds(running.run_time_left_ms), detail::max_run_time);
  const granted_slot slot{
      running.grant, running.service, running.upstream, {owner, 0}, now + left};
  if (!ledger.add(slot)) {
    return;
  }
  service_slots& service =
      services.try_emplace(running.service, running.service).first->second;
  upstream_slots* upstream = service.find(running.upstream);
  if (!upstream) {
    // Not yet or no longer in this balancer's configuration.
    upstream = &service.upstreams().emplace_back(running.upstream, 1, now);
  }
  upstream->add(is_own(slot.asked), now);
}

void slot_table::state::free_slot(const granted_slot& slot, time_point now) {
  const auto service = services.find(slot.service);
  if (service == services.end()) {
    return;
  }
  if (upstream_slots* upstream = service->second.find(slot.upstream)) {
    upstream->remove(is_own(slot.asked), now);
  }
  if (const ask_record* record = history.find(slot.asked);
      record && record->progress == ask_progress::granted &&
      record->grant == slot.grant) {
    history.finish(slot.asked, error_kind::none, now);
  }
}

}  // namespace rosemarydrum
