#include <algorithm>
#include <utility>

#include "requests/request_owner_state.h"

namespace rosemarydrum {

using detail::attempt_phase;
using detail::record_progress;

namespace {

// The parts of an answer arrive together, so that a gap of this length means
// that some are lost.
constexpr milliseconds resend_interval{20};
// Time for the first part while the service's usual latency is not known.
constexpr milliseconds default_first_part_timeout{100};
// Missing parts requested in one round.
constexpr std::size_t max_resends_per_round = 16;

}  // namespace

void request_owner::state::on_timer(active& entry, time_point now,
                                    actions& out) {
  if (now >= entry.deadline) {
    expire(entry, now, out);
    return;
  }
  if (entry.record == record_progress::asked &&
      now - entry.record_asked_at >= settings.record_interval) {
    send_record_ask(entry, now, out);
  }
  for (auto next = entry.attempts.begin(); next != entry.attempts.end();) {
    attempt& a = *next++;
    if (!on_attempt_timer(entry, a, now, out)) {
      return;
    }
  }
  maybe_hedge(entry, now, out);
  entry.next_due = due_time(entry);
}

void request_owner::state::expire(active& entry, time_point now, actions& out) {
  error_kind error = error_kind::deadline_exceeded;
  if (entry.may_have_run) {
    error = error_kind::outcome_unknown;
  } else if (entry.request.idempotent && entry.attempts_sent > 0) {
    error = error_kind::upstream_failed;
  }
  refuse_active(entry, error, now, out);
}

bool request_owner::state::on_attempt_timer(active& entry, attempt& a,
                                            time_point now, actions& out) {
  switch (a.phase) {
    case attempt_phase::asking:
      if (now - a.asked_at > settings.grant_validity) {
        // The process was paused, so that a grant for the last ask may be void
        // when it arrives.
        send_new_ask(entry, a, now, out);
      } else if (now - a.asked_at >= settings.ask_interval) {
        send_ask(entry, a, now, out);
      }
      return true;
    case attempt_phase::granted:
      try_send(entry, a, now, out);
      return true;
    case attempt_phase::sent:
      if (now >= a.run_deadline) {
        fail_attempt(entry, a, attempt_outcome::timed_out, now, out);
        return false;
      }
      if (now - a.last_progress >= resend_after(entry, a)) {
        request_resend(entry, a, now, out);
      }
      return true;
  }
  return true;
}

void request_owner::state::request_resend(const active& entry, attempt& a,
                                          time_point now, actions& out) const {
  a.last_progress = now;
  packet resend = detail::control_packet(entry, a, packet_kind::resend);
  if (a.answer.empty()) {
    // No part has arrived and all may be lost, so part 0 is requested. An
    // upstream that still runs the request ignores this.
    out.emplace_back(send_to_upstream{entry.request.key.service, a.upstream.id,
                                      std::move(resend)});
    return;
  }
  resend.header.parts = a.answer.part_count();
  for (const std::uint16_t part : a.answer.missing(max_resends_per_round)) {
    resend.header.part = part;
    out.emplace_back(
        send_to_upstream{entry.request.key.service, a.upstream.id, resend});
  }
}

void request_owner::state::maybe_hedge(active& entry, time_point now,
                                       actions& out) {
  if (!entry.request.idempotent || !entry.may_change_upstream() ||
      entry.hedged || entry.request.pinned != upstream_id{} ||
      entry.attempts.size() != 1) {
    return;
  }
  const attempt& only = entry.attempts.front();
  detail::service_statistics& history = histories[entry.request.key.service];
  const duration usual = history.usual_latency();
  if (only.phase != attempt_phase::sent || !only.answer.empty() ||
      usual == duration::zero() ||
      now - only.sent_at < first_part_timeout(entry) ||
      entry.deadline - now < usual || !history.take_retry()) {
    return;
  }
  entry.hedged = true;
  out.emplace_back(record_event{
      detail::event_of(entry, event_id::request_hedged, only.upstream.id)});
  start_attempt(entry, true, now, out);
}

duration request_owner::state::first_part_timeout(const active& entry) const {
  const auto history = histories.find(entry.request.key.service);
  const duration usual = history == histories.end()
                             ? duration::zero()
                             : history->second.usual_latency();
  return usual == duration::zero()
             ? duration(default_first_part_timeout)
             : std::max<duration>(usual * settings.hedge_factor,
                                  resend_interval);
}

duration request_owner::state::resend_after(const active& entry,
                                            const attempt& a) const {
  return a.answer.empty() ? first_part_timeout(entry)
                          : duration(resend_interval);
}

time_point request_owner::state::due_time(const active& entry) const {
  time_point due = entry.deadline;
  const auto add = [&due](time_point timer) { due = std::min(due, timer); };
  if (entry.record == record_progress::asked) {
    add(entry.record_asked_at + settings.record_interval);
  }
  for (const attempt& a : entry.attempts) {
    switch (a.phase) {
      case attempt_phase::asking:
        add(a.asked_at + settings.ask_interval);
        break;
      case attempt_phase::granted:
        add(a.previous_asked_at + settings.grant_validity + duration(1));
        break;
      case attempt_phase::sent:
        add(a.run_deadline);
        add(a.last_progress + resend_after(entry, a));
        if (entry.request.idempotent && entry.may_change_upstream() &&
            !entry.hedged) {
          add(a.sent_at + first_part_timeout(entry));
        }
        break;
    }
  }
  return due;
}

}  // namespace rosemarydrum
