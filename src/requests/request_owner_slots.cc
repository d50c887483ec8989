#include <algorithm>

#include "requests/request_owner_state.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

using detail::active_request;
using detail::attempt_phase;
using detail::record_progress;
using detail::request_attempt;

namespace {

std::uint32_t clamped_ms(duration time) {
  const auto count = std::chrono::floor<milliseconds>(time).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, max_time_left_ms));
}

slot_release make_release(const slot_answer& answer) {
  slot_release release;
  release.grant = answer.grant;
  release.service = answer.service;
  release.upstream = answer.upstream;
  release.upstream_run = answer.upstream_run;
  release.outcome = attempt_outcome::unused;
  return release;
}

}  // namespace

request_attempt* request_owner::state::find_attempt(active& entry,
                                                    std::uint64_t ask) {
  const auto found =
      std::find_if(entry.attempts.begin(), entry.attempts.end(),
                   [ask](const attempt& a) { return a.ask == ask; });
  return found == entry.attempts.end() ? nullptr : &*found;
}

void request_owner::state::start_attempt(active& entry, bool is_hedge,
                                         time_point now, actions& out) {
  attempt& a = entry.attempts.emplace_back();
  a.is_hedge = is_hedge;
  a.started_at = now;
  send_new_ask(entry, a, now, out);
}

void request_owner::state::send_ask(active& entry, attempt& a, time_point now,
                                    actions& out) {
  a.previous_asked_at = a.asked_at;
  a.asked_at = now;
  entry.next_due = now;
  const owned_request& request = entry.request;
  ask_slot message;
  message.ask.ask = a.ask;
  message.ask.service = request.key.service;
  message.ask.flow = request.key.flow;
  message.ask.caller = request.key.caller;
  message.ask.request = request.key.request;
  message.ask.priority = request.datagram.header.priority;
  message.ask.idempotent = request.idempotent;
  message.ask.opens_flow = request.opens_flow;
  message.ask.pinned = request.pinned;
  message.ask.avoid = entry.failed_upstreams;
  for (const attempt& other : entry.attempts) {
    if (other.phase == attempt_phase::sent) {
      message.ask.avoid.push_back(other.upstream.id);
    }
  }
  message.ask.time_left_ms = clamped_ms(entry.deadline - now);
  message.ask.may_spill = entry.request.pinned == upstream_id{} &&
                          !entry.request.spill_to.empty() &&
                          now - a.started_at >= settings.spill_delay;
  if (a.spill_index > 0) {
    message.spill_to = request.spill_to[a.spill_index - 1];
  }
  out.emplace_back(std::move(message));
}

void request_owner::state::assign_ask_number(const active& entry, attempt& a,
                                             time_point now) {
  by_ask.erase(a.ask);
  a.phase = attempt_phase::asking;
  a.ask = ++last_ask_number;
  by_ask.emplace(a.ask, entry.request.key);
  a.asked_at = now;
}

void request_owner::state::send_new_ask(active& entry, attempt& a,
                                        time_point now, actions& out) {
  assign_ask_number(entry, a, now);
  send_ask(entry, a, now, out);
}

void request_owner::state::send_record_ask(active& entry, time_point now,
                                           actions& out) {
  entry.record_asked_at = now;
  const token& owner_token = entry.request.owner_token;
  out.emplace_back(
      send_to_peer{owner_token.witness.id, owner_token.witness.run,
                   record_ask{entry.request.key, owner_token.expires}});
}

void request_owner::on_slot_answer(balancer_run decider,
                                   const slot_answer& answer, time_point now,
                                   actions& out) {
  const bool granted = answer.error == error_kind::none;
  if (granted && !state_->grants.accept({decider, answer.grant})) {
    return;  // A duplicate of an answer.
  }
  const auto known = state_->by_ask.find(answer.ask);
  active_request* entry = known == state_->by_ask.end()
                              ? nullptr
                              : state_->find_active(known->second);
  request_attempt* a =
      entry == nullptr ? nullptr : state_->find_attempt(*entry, answer.ask);
  if (a != nullptr && a->phase == attempt_phase::asking &&
      (!granted || answer.service == entry->request.key.service)) {
    entry->next_due = now;
    if (granted) {
      state_->on_grant(*entry, *a, decider, answer, now, out);
    } else {
      state_->on_ask_refused(*entry, *a, answer, now, out);
    }
  } else if (granted) {
    out.emplace_back(release_slot{make_release(answer), decider});
  }
}

void request_owner::state::on_ask_refused(active& entry, attempt& a,
                                          const slot_answer& refusal,
                                          time_point now, actions& out) {
  const auto error = refusal.error;
  a.may_recover = refusal.may_wait || (a.spill_index > 0 && a.may_recover);
  if (entry.attempts.size() > 1) {
    end_attempt(entry, a, attempt_outcome::unused, false, now, out);
  } else if (error == error_kind::in_progress) {
    // The balancer that already runs the request answers the caller.
    const request_key key = entry.request.key;
    end_attempt(entry, a, attempt_outcome::unused, false, now, out);
    active_requests.erase(key);
  } else if (error != error_kind::no_capacity ||
             !spill_to_next(entry, a, now, out)) {
    refuse_active(entry, error, now, out);
  }
}

bool request_owner::state::spill_to_next(active& entry, attempt& a,
                                         time_point now, actions& out) {
  if (a.spill_index < entry.request.spill_to.size()) {
    ++a.spill_index;
    send_new_ask(entry, a, now, out);
    return true;
  }
  if (a.may_recover) {
    a.spill_index = 0;
    assign_ask_number(entry, a, now);
    return true;
  }
  return false;
}

void request_owner::state::on_grant(active& entry, attempt& a,
                                    balancer_run decider,
                                    const slot_answer& answer, time_point now,
                                    actions& out) {
  a.phase = attempt_phase::granted;
  a.decider = decider;
  a.grant = answer.grant;
  a.upstream = {answer.upstream, answer.upstream_run};
  a.run_deadline = std::min<time_point>(
      a.previous_asked_at + milliseconds(answer.run_time_ms), entry.deadline);
  if (clamped_ms(a.run_deadline - now) == 0) {
    refuse_active(entry, error_kind::deadline_exceeded, now, out);
    return;
  }
  try_send(entry, a, now, out);
}

void request_owner::state::try_send(active& entry, attempt& a, time_point now,
                                    actions& out) {
  if (a.phase != attempt_phase::granted) {
    return;
  }
  // The decider may have given up a grant of this age, which occurs after a
  // pause of the process.
  if (now - a.previous_asked_at > settings.grant_validity) {
    release(entry, a, attempt_outcome::unused, now, out);
    send_new_ask(entry, a, now, out);
    return;
  }
  if (entry.record == record_progress::asked || now >= a.run_deadline) {
    return;
  }
  if (!entry.request.idempotent && entry.may_have_run) {
    end_attempt(entry, a, attempt_outcome::unused, false, now, out);
    return;
  }
  send(entry, a, now, out);
}

void request_owner::state::send(active& entry, attempt& a, time_point now,
                                actions& out) {
  do {
    a.number = static_cast<std::uint32_t>(random());
  } while (a.number == 0 || by_number.contains(a.number));
  by_number.emplace(a.number, entry.request.key);
  a.phase = attempt_phase::sent;
  a.sent_at = now;
  a.last_progress = now;
  ++entry.attempts_sent;
  entry.may_have_run = !entry.request.idempotent;

  packet datagram = entry.request.datagram;
  datagram.token.clear();
  datagram.header.kind = packet_kind::request;
  datagram.header.idempotent = entry.request.idempotent;
  datagram.header.opens_flow = entry.request.opens_flow;
  datagram.header.attempt = a.number;
  datagram.header.service = entry.request.key.service;
  datagram.header.flow = entry.request.key.flow;
  datagram.header.request = entry.request.key.request;
  datagram.header.send_by =
      runtime_clock::to_unix(a.previous_asked_at + settings.grant_validity);
  datagram.header.time_left_ms = clamped_ms(a.run_deadline - now);
  out.emplace_back(send_to_upstream{entry.request.key.service, a.upstream.id,
                                    std::move(datagram)});
}

void request_owner::state::release(const active& entry, const attempt& a,
                                   attempt_outcome outcome, time_point now,
                                   actions& out) const {
  slot_release released;
  released.grant = a.grant;
  released.service = entry.request.key.service;
  released.upstream = a.upstream.id;
  released.upstream_run = a.upstream.run;
  released.outcome = outcome;
  if (a.phase == attempt_phase::sent) {
    released.latency_us = static_cast<std::uint32_t>((now - a.sent_at).count());
    released.reported_load = a.reported_load;
  }
  out.emplace_back(release_slot{released, a.decider});
}

void request_owner::on_record_answer(balancer_run witness,
                                     const record_answer& answer,
                                     time_point now, actions& out) {
  active_request* entry = state_->find_active(answer.request);
  if (entry == nullptr || entry->record != record_progress::asked ||
      witness != entry->request.owner_token.witness) {
    return;
  }
  if (!answer.recorded) {
    state_->refuse_active(*entry, error_kind::owner_lost, now, out);
    return;
  }
  entry->record = record_progress::recorded;
  entry->next_due = now;
  if (!entry->attempts.empty()) {
    state_->try_send(*entry, entry->attempts.front(), now, out);
  }
}

}  // namespace rosemarydrum
