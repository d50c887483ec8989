#include "rosemarydrum/requests/request_owner.h"

#include <algorithm>
#include <utility>

#include "requests/request_owner_state.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

using detail::active_request;
using detail::attempt_phase;
using detail::kept_request;

request_owner::state::state(request_owner_settings initial,
                            const token_codec& tokens, std::uint64_t seed)
    : settings(initial),
      replies(tokens, initial.self),
      random(seed),
      kept(initial.max_kept_bytes) {}

bool request_owner::state::has_room() {
  return running.size() + kept.size() < settings.max_requests ||
         kept.evict_one();
}

active_request* request_owner::state::find_active(const request_key& key) {
  const auto found = running.find(key);
  return found == running.end() ? nullptr : &found->second;
}

void request_owner::state::start(const owned_request& request, time_point now,
                                 actions& out) {
  active& entry = running[request.key];
  entry.request = request;
  entry.deadline =
      now + milliseconds(std::min(request.datagram.header.time_left_ms,
                                  max_time_left_ms));
  entry.next_due = now;
  if (entry.deadline <= now) {
    refuse_active(entry, error_kind::deadline_exceeded, now, out);
    return;
  }
  // Without a witness nobody else can close the request, so that a second
  // record adds nothing.
  if (!request.idempotent && request.authority.witness.run != incarnation{}) {
    entry.record = detail::record_progress::asked;
    ask_record(entry, now, out);
  }
  start_attempt(entry, false, now, out);
}

time_point request_owner::state::keep_until(const owned_request& request,
                                            time_point now) const {
  if (request.idempotent) {
    return now + settings.keep_finished;
  }
  const auto to_expiry = static_cast<std::int64_t>(request.authority.expires) -
                         static_cast<std::int64_t>(runtime_clock::to_unix(now));
  return now + std::max<duration>(
                   milliseconds(to_expiry) + settings.keep_after_expiry,
                   settings.keep_finished);
}

void request_owner::state::refuse_active(active& entry, error_kind error,
                                         time_point now, actions& out) {
  while (!entry.attempts.empty()) {
    attempt& last = entry.attempts.front();
    end_attempt(entry, last, outcome_if_ended(entry, last, now), true, now,
                out);
  }
  kept_request ended;
  ended.idempotent = entry.request.idempotent;
  ended.error = error;
  ended.outcome = !ended.idempotent && !entry.may_have_run &&
                          answer_of(error).outcome == certainty::not_run
                      ? certainty::not_run
                      : certainty::unknown;
  finish(entry, std::move(ended), now, out);
}

void request_owner::state::finish(active& entry, kept_request ended,
                                  time_point now, actions& out) {
  replies.send(entry.request, ended, now, out);
  const request_key key = entry.request.key;
  const time_point until = keep_until(entry.request, now);
  running.erase(key);
  // A refused idempotent request may be tried again at once.
  if (!ended.idempotent || ended.error == error_kind::none) {
    kept.add(key, std::move(ended), until);
  }
}

void request_owner::state::refuse_new(const owned_request& request,
                                      error_kind error, time_point now,
                                      actions& out) {
  // These ask the caller to send again with the token of the refusal. That
  // the request has not run is known without a record here: it had no token,
  // or its witness has closed it.
  const bool send_again = error == error_kind::token_required ||
                          error == error_kind::owner_lost ||
                          error == error_kind::token_expired;
  const bool owned_here =
      request.authority.owner == settings.self &&
      request.authority.expires > runtime_clock::to_unix(now);
  const bool keep =
      !send_again && (request.idempotent || owned_here) && has_room();
  kept_request ended;
  ended.idempotent = request.idempotent;
  ended.error = error;
  ended.outcome = !request.idempotent && (keep || send_again) &&
                          answer_of(error).outcome == certainty::not_run
                      ? certainty::not_run
                      : certainty::unknown;
  replies.send(request, ended, now, out);
  if (keep) {
    kept.add(request.key, std::move(ended), keep_until(request, now));
  }
}

void request_owner::state::refuse_unrecorded(const owned_request& request,
                                             time_point now, actions& out) {
  // Kept, so that no later copy runs if the witness turns out to be alive.
  kept_request ended;
  ended.error = error_kind::owner_lost;
  ended.outcome = certainty::not_run;
  replies.send(request, ended, now, out);
  kept.add(request.key, std::move(ended), keep_until(request, now));
}

request_owner::request_owner(request_owner_settings settings,
                             const token_codec& tokens, std::uint64_t seed)
    : state_(std::make_unique<state>(settings, tokens, seed)) {}
request_owner::~request_owner() = default;

void request_owner::on_request(const owned_request& request, time_point now,
                               actions& out) {
  if (state_->running.contains(request.key)) {
    return;  // A repeat; the caller gets the answer when there is one.
  }
  if (const kept_request* ended = state_->kept.find(request.key)) {
    state_->replies.send(request, *ended, now, out);
    return;
  }
  if (!request.idempotent) {
    const flow_key flow{request.key.caller, request.key.service,
                        request.key.flow};
    if (request.authority.owner != state_->settings.self ||
        request.authority.flow != flow) {
      state_->replies.refuse(request, error_kind::outcome_unknown,
                             certainty::unknown, now, out);
      return;
    }
    // Records of expired tokens have been dropped, so it may have run.
    if (request.authority.expires <= runtime_clock::to_unix(now)) {
      state_->replies.refuse(request, error_kind::token_expired,
                             certainty::unknown, now, out);
      return;
    }
  }
  if (!state_->has_room()) {
    // A later copy may find room and run.
    state_->replies.refuse(request, error_kind::overloaded, certainty::unknown,
                           now, out);
    return;
  }
  if (!request.idempotent && request.witness_lost) {
    state_->refuse_unrecorded(request, now, out);
    return;
  }
  state_->start(request, now, out);
}

bool request_owner::knows(const request_key& key) const {
  return state_->running.contains(key) || state_->kept.contains(key);
}

void request_owner::refuse(const owned_request& request, error_kind error,
                           time_point now, actions& out) {
  if (state_->running.contains(request.key)) {
    return;
  }
  if (const kept_request* ended = state_->kept.find(request.key)) {
    state_->replies.send(request, *ended, now, out);
    return;
  }
  state_->refuse_new(request, error, now, out);
}

void request_owner::set_successor(balancer_run owner, balancer_run witness) {
  state_->replies.set_successor(owner, witness);
}

void request_owner::tick(time_point now, actions& out) {
  std::vector<request_key> due;
  for (const auto& [key, entry] : state_->running) {
    if (entry.next_due <= now) {
      due.push_back(key);
    }
  }
  for (const request_key& key : due) {
    if (active_request* entry = state_->find_active(key)) {
      state_->on_time(*entry, now, out);
    }
  }
  state_->kept.expire(now);
}

std::vector<running_grant> request_owner::running(shard_id shard,
                                                  time_point now) const {
  std::vector<running_grant> grants;
  for (const auto& [key, entry] : state_->running) {
    if (shard_of(key.service) != shard) {
      continue;
    }
    for (const auto& a : entry.attempts) {
      if (a.phase == attempt_phase::asking) {
        continue;
      }
      const auto left = std::chrono::ceil<milliseconds>(a.run_deadline - now);
      grants.push_back({a.grant, key.service, a.upstream.id,
                        static_cast<std::uint32_t>(
                            std::max<std::int64_t>(left.count(), 0))});
    }
  }
  return grants;
}

std::size_t request_owner::unfinished() const { return state_->running.size(); }

}  // namespace rosemarydrum
