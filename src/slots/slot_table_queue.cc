#include <algorithm>
#include <iterator>

#include "slots/slot_table_state.h"

namespace rosemarydrum {

using detail::ask_key;
using detail::ask_record;
using detail::service_slots;
using detail::upstream_slots;
using detail::waiting_ask;

void slot_table::state::enqueue(service_slots& service, const ask_key& key,
                                const slot_ask& ask, time_point deadline,
                                time_point now, actions& out) {
  const auto position = service.queue().add({key.from, ask, deadline, now});
  ask_record record;
  record.service = ask.service;
  record.position = position;
  history.put(key, record);
  if (service.queue().size() > settings.max_queue) {
    const auto last = std::prev(service.queue().waiting().end());
    const ask_key refused = last->second.key();
    service.queue().waiting().erase(last);
    refuse(refused, error_kind::overloaded, now, out);
  }
}

void slot_table::state::grant_waiting(service_id id, service_slots& service,
                                      time_point now, actions& out) {
  const detail::grant_rules rules = rules_of(id, now);
  auto& waiting = service.queue().waiting();
  for (auto it = waiting.begin();
       it != waiting.end() && service.has_free(rules);) {
    const bool current = now - it->second.last_asked < detail::ask_validity;
    upstream_slots* picked =
        current && now < it->first.deadline
            ? service.pick(it->second.ask, rules, next_grant)
            : nullptr;
    if (!picked) {
      ++it;
      continue;
    }
    const waiting_ask next = it->second;
    it = waiting.erase(it);
    grant(*picked, next, now, out);
  }
}

void slot_table::state::process_waiting(shard_id shard, time_point now,
                                        actions& out) {
  for (auto& [id, service] : services) {
    if (shard_of(id) == shard) {
      refuse_unservable(service, now, out);
      grant_waiting(id, service, now, out);
    }
  }
}

void slot_table::state::refuse_unservable(service_slots& service,
                                          time_point now, actions& out) {
  std::erase_if(service.queue().waiting(), [&](const auto& entry) {
    const error_kind error = service.unservable_error(entry.second.ask);
    if (error != error_kind::none) {
      refuse(entry.second.key(), error, now, out);
    }
    return error != error_kind::none;
  });
}

void slot_table::state::expire_waiting(service_slots& service, time_point now,
                                       actions& out) {
  std::erase_if(service.queue().waiting(), [&](const auto& entry) {
    const ask_key key = entry.second.key();
    if (now >= entry.first.deadline) {
      refuse(key, error_kind::deadline_exceeded, now, out);
      return true;
    }
    if (now - entry.second.last_asked >= detail::ask_validity) {
      history.forget(key);
      return true;
    }
    return false;
  });
}

void slot_table::state::forget_waiting(shard_id shard) {
  for (auto& [id, service] : services) {
    if (shard_of(id) == shard) {
      for (const auto& [position, waiting] : service.queue().waiting()) {
        history.forget(waiting.key());
      }
      service.queue().waiting().clear();
    }
  }
}

}  // namespace rosemarydrum
