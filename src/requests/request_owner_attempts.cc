#include <algorithm>

#include "requests/request_owner_state.h"

namespace rosemarydrum {

using detail::active_request;
using detail::attempt_phase;
using detail::finished_request;
using detail::request_attempt;

namespace {

/// Limit on the sends of one request; bounds `failed_upstreams` and the load
/// that a failing service causes.
constexpr int max_sends = 8;

error_kind refusal_after(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::shed:
      return error_kind::overloaded;
    case attempt_outcome::rejected_late:
      return error_kind::deadline_exceeded;
    default:
      return error_kind::upstream_failed;
  }
}

}  // namespace

void request_owner::state::end_attempt(active& entry, attempt& a,
                                       attempt_outcome outcome, bool cancel,
                                       time_point now, actions& out) {
  by_ask.erase(a.ask);
  if (a.phase == attempt_phase::granted) {
    release(entry, a, attempt_outcome::unused, now, out);
  } else if (a.phase == attempt_phase::sent) {
    if (cancel) {
      out.emplace_back(send_to_upstream{
          entry.request.key.service, a.upstream.id,
          detail::control_packet(entry, a, packet_kind::cancel)});
    }
    release(entry, a, outcome, now, out);
    by_number.erase(a.number);
    incomplete_answer_bytes -= a.answer.size_bytes();
  }
  entry.attempts.remove_if([&a](const attempt& other) { return &other == &a; });
}

attempt_outcome request_owner::state::outcome_if_cancelled(
    const active& entry, const attempt& a, time_point now) const {
  // An attempt within the expected latency is no evidence of a fault.
  return now - a.sent_at > first_part_timeout(entry)
             ? attempt_outcome::timed_out
             : attempt_outcome::unused;
}

void request_owner::state::fail_attempt(active& entry, attempt& a,
                                        attempt_outcome outcome, time_point now,
                                        actions& out) {
  const upstream_id failed = a.upstream.id;
  const bool not_run = outcome == attempt_outcome::shed ||
                       outcome == attempt_outcome::rejected_late;
  end_attempt(entry, a, outcome, outcome == attempt_outcome::timed_out, now,
              out);
  if (entry.may_change_upstream()) {
    entry.failed_upstreams.push_back(failed);
  }
  entry.next_due = now;
  const bool may_send = entry.attempts_sent < max_sends && now < entry.deadline;
  if (!entry.request.idempotent) {
    if (!not_run) {
      return;  // Not sent again; refused with unknown outcome at the deadline.
    }
    entry.may_have_run = false;
    if (may_send) {
      start_attempt(entry, false, now, out);
    } else {
      refuse_active(entry, refusal_after(outcome), now, out);
    }
    return;
  }
  if (!entry.attempts.empty()) {
    return;  // The other attempt of a hedged request continues.
  }
  if (may_send && histories[entry.request.key.service].take_retry()) {
    out.emplace_back(record_event{
        detail::event_of(entry, event_id::request_retried, failed)});
    start_attempt(entry, false, now, out);
  } else {
    refuse_active(entry, refusal_after(outcome), now, out);
  }
}

void request_owner::on_upstream_lost(upstream_id upstream, time_point now,
                                     actions& out) {
  std::vector<request_key> affected;
  const auto is_on_upstream = [upstream](const request_attempt& a) {
    return a.phase != attempt_phase::asking && a.upstream.id == upstream;
  };
  for (const auto& [key, entry] : state_->active_requests) {
    if (std::any_of(entry.attempts.begin(), entry.attempts.end(),
                    is_on_upstream)) {
      affected.push_back(key);
    }
  }
  for (const request_key& key : affected) {
    active_request& entry = *state_->find_active(key);
    request_attempt& a = *std::find_if(entry.attempts.begin(),
                                       entry.attempts.end(), is_on_upstream);
    if (entry.request.pinned == upstream) {
      // The flow has lost its upstream and may be bound to any other.
      entry.request.pinned = {};
      entry.request.opens_flow = true;
    }
    if (a.phase == attempt_phase::sent) {
      state_->fail_attempt(entry, a, attempt_outcome::reset, now, out);
    } else {
      state_->release(entry, a, attempt_outcome::unused, now, out);
      state_->send_new_ask(entry, a, now, out);
    }
  }
}

void request_owner::on_upstream_packet(upstream_id from, const packet& datagram,
                                       time_point now, actions& out) {
  const packet_header& header = datagram.header;
  const auto known = state_->by_number.find(header.attempt);
  if (known == state_->by_number.end()) {
    return;
  }
  const request_key key = known->second;
  active_request* entry = state_->find_active(key);
  if (entry == nullptr || header.service != key.service ||
      header.flow != key.flow || header.request != key.request) {
    return;
  }
  const auto found = std::find_if(
      entry->attempts.begin(), entry->attempts.end(),
      [&](const request_attempt& a) {
        return a.phase == attempt_phase::sent && a.number == header.attempt;
      });
  if (found == entry->attempts.end() || found->upstream.id != from) {
    return;
  }
  switch (header.kind) {
    case packet_kind::answer:
      state_->on_answer_part(*entry, *found, datagram, now, out);
      break;
    case packet_kind::shed:
    case packet_kind::rejected_late:
      // An upstream that has sent a part of its answer has run the request.
      if (found->answer.empty()) {
        found->upstream.run = header.upstream_run;
        found->reported_load = header.reported_load;
        state_->fail_attempt(*entry, *found,
                             header.kind == packet_kind::shed
                                 ? attempt_outcome::shed
                                 : attempt_outcome::rejected_late,
                             now, out);
      }
      break;
    default:
      break;
  }
}

void request_owner::state::on_answer_part(active& entry, attempt& a,
                                          const packet& part, time_point now,
                                          actions& out) {
  if (!a.answer.accepts(part) ||
      !finished.reserve_bytes(incomplete_answer_bytes + part.payload.size())) {
    return;
  }
  a.answer.add(part);
  a.upstream.run = a.answer.run();
  a.reported_load = part.header.reported_load;
  a.last_progress = now;
  entry.next_due = now;
  incomplete_answer_bytes += part.payload.size();
  if (a.answer.complete()) {
    complete(entry, a, now, out);
  }
}

void request_owner::state::complete(active& entry, attempt& winner,
                                    time_point now, actions& out) {
  histories[entry.request.key.service].on_answer(now - winner.sent_at);
  finished_request result;
  result.idempotent = entry.request.idempotent;
  result.attempt = winner.number;
  result.flow_upstream = winner.upstream;
  // A token that names no upstream does not bind the flow: the caller need not
  // echo the next one.
  const bool token_binds =
      !entry.request.datagram.token.empty() &&
      entry.request.owner_token.upstream.id != upstream_id{};
  if (!token_binds) {
    const request_key& key = entry.request.key;
    out.emplace_back(
        bind_flow{{key.caller, key.service, key.flow}, winner.upstream});
  }
  incomplete_answer_bytes -= winner.answer.size_bytes();
  result.parts = winner.answer.take();
  release(entry, winner, attempt_outcome::answered, now, out);
  by_number.erase(winner.number);
  by_ask.erase(winner.ask);
  entry.attempts.remove_if(
      [&winner](const attempt& other) { return &other == &winner; });
  while (!entry.attempts.empty()) {
    attempt& loser = entry.attempts.front();
    end_attempt(entry, loser, outcome_if_cancelled(entry, loser, now), true,
                now, out);
  }
  finish(entry, std::move(result), now, out);
}

}  // namespace rosemarydrum
