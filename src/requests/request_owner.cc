#include "rosemarydrum/requests/request_owner.h"

#include <algorithm>
#include <utility>

#include "requests/request_owner_state.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

using detail::active_request;
using detail::attempt_phase;
using detail::finished_request;

request_owner::state::state(request_owner_settings initial,
                            const token_codec& tokens, std::uint64_t seed)
    : settings(initial),
      replies(tokens, initial.self),
      random(seed),
      finished(initial.max_kept_bytes) {}

bool request_owner::state::make_room() {
  return active_requests.size() + finished.size() < settings.max_requests ||
         finished.evict_one();
}

active_request* request_owner::state::find_active(const request_key& key) {
  const auto found = active_requests.find(key);
  return found == active_requests.end() ? nullptr : &found->second;
}

void request_owner::state::start(const owned_request& request, time_point now,
                                 actions& out) {
  active& entry = active_requests[request.key];
  entry.request = request;
  entry.deadline =
      now + milliseconds(std::min(request.datagram.header.time_left_ms,
                                  max_time_left_ms));
  entry.next_due = now;
  if (entry.deadline <= now) {
    refuse_active(entry, error_kind::deadline_exceeded, now, out);
    return;
  }
  // A token without a witness cannot be closed by another balancer, so that a
  // second record is of no use.
  if (!request.idempotent && request.owner_token.witness.run != incarnation{}) {
    entry.record = detail::record_progress::asked;
    send_record_ask(entry, now, out);
  }
  start_attempt(entry, false, now, out);
}

time_point request_owner::state::keep_until(const owned_request& request,
                                            time_point now) const {
  if (request.idempotent) {
    return now + settings.keep_finished;
  }
  const auto until_expiry_ms =
      static_cast<std::int64_t>(request.owner_token.expires) -
      static_cast<std::int64_t>(runtime_clock::to_unix(now));
  return now + std::max<duration>(
                   milliseconds(until_expiry_ms) + settings.keep_after_expiry,
                   settings.keep_finished);
}

void request_owner::state::refuse_active(active& entry, error_kind error,
                                         time_point now, actions& out) {
  while (!entry.attempts.empty()) {
    attempt& open = entry.attempts.front();
    end_attempt(entry, open, outcome_if_cancelled(entry, open, now), true, now,
                out);
  }
  finished_request result;
  result.idempotent = entry.request.idempotent;
  result.error = error;
  result.outcome = !result.idempotent && !entry.may_have_run &&
                           description_of(error).outcome == certainty::not_run
                       ? certainty::not_run
                       : certainty::unknown;
  finish(entry, std::move(result), now, out);
}

void request_owner::state::finish(active& entry, finished_request result,
                                  time_point now, actions& out) {
  replies.send(entry.request, result, now, out);
  const request_key key = entry.request.key;
  const time_point until = keep_until(entry.request, now);
  active_requests.erase(key);
  // Refusals of idempotent requests are not kept, so that a repeat starts
  // again at once.
  if (!result.idempotent || result.error == error_kind::none) {
    finished.add(key, std::move(result), until);
  }
}

void request_owner::state::refuse_new(const owned_request& request,
                                      error_kind error, time_point now,
                                      actions& out) {
  // These errors ask the caller to send again with the token of the refusal.
  // No record is needed to know that the request has not run: it had no token,
  // or its witness has closed it.
  const bool send_again = error == error_kind::token_required ||
                          error == error_kind::owner_lost ||
                          error == error_kind::token_expired;
  const bool owned_here =
      request.owner_token.owner == settings.self &&
      request.owner_token.expires > runtime_clock::to_unix(now);
  const bool keep =
      !send_again && (request.idempotent || owned_here) && make_room();
  finished_request result;
  result.idempotent = request.idempotent;
  result.error = error;
  result.outcome = !request.idempotent && (keep || send_again) &&
                           description_of(error).outcome == certainty::not_run
                       ? certainty::not_run
                       : certainty::unknown;
  replies.send(request, result, now, out);
  if (keep) {
    finished.add(request.key, std::move(result), keep_until(request, now));
  }
}

void request_owner::state::refuse_unrecorded(const owned_request& request,
                                             time_point now, actions& out) {
  // The refusal is kept, so that no later copy runs if the witness turns out to
  // be alive.
  finished_request result;
  result.error = error_kind::owner_lost;
  result.outcome = certainty::not_run;
  replies.send(request, result, now, out);
  finished.add(request.key, std::move(result), keep_until(request, now));
}

request_owner::request_owner(request_owner_settings settings,
                             const token_codec& tokens, std::uint64_t seed)
    : state_(std::make_unique<state>(settings, tokens, seed)) {}
request_owner::~request_owner() = default;

void request_owner::on_request(const owned_request& request, time_point now,
                               actions& out) {
  if (state_->active_requests.contains(request.key)) {
    return;  // A repeat of a request that is still in progress.
  }
  if (const finished_request* result = state_->finished.find(request.key)) {
    state_->replies.send(request, *result, now, out);
    return;
  }
  if (!request.idempotent) {
    const flow_key flow{request.key.caller, request.key.service,
                        request.key.flow};
    if (request.owner_token.owner != state_->settings.self ||
        request.owner_token.flow != flow) {
      state_->replies.refuse(request, error_kind::outcome_unknown,
                             certainty::unknown, now, out);
      return;
    }
    // The record of a request is dropped after its token expires, so that the
    // request may have run.
    if (request.owner_token.expires <= runtime_clock::to_unix(now)) {
      state_->replies.refuse(request, error_kind::token_expired,
                             certainty::unknown, now, out);
      return;
    }
  }
  if (!state_->make_room()) {
    // The outcome is unknown because a later copy may be accepted and run.
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
  return state_->active_requests.contains(key) ||
         state_->finished.contains(key);
}

void request_owner::refuse(const owned_request& request, error_kind error,
                           time_point now, actions& out) {
  if (state_->active_requests.contains(request.key)) {
    return;
  }
  if (const finished_request* result = state_->finished.find(request.key)) {
    state_->replies.send(request, *result, now, out);
    return;
  }
  state_->refuse_new(request, error, now, out);
}

void request_owner::set_successor(balancer_run owner, balancer_run witness) {
  state_->replies.set_successor(owner, witness);
}

void request_owner::tick(time_point now, actions& out) {
  std::vector<request_key> due;
  for (const auto& [key, entry] : state_->active_requests) {
    if (entry.next_due <= now) {
      due.push_back(key);
    }
  }
  for (const request_key& key : due) {
    if (active_request* entry = state_->find_active(key)) {
      state_->on_timer(*entry, now, out);
    }
  }
  state_->finished.expire(now);
}

std::vector<running_grant> request_owner::running(shard_id shard,
                                                  time_point now) const {
  std::vector<running_grant> grants;
  for (const auto& [key, entry] : state_->active_requests) {
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

std::size_t request_owner::unfinished() const {
  return state_->active_requests.size();
}

}  // namespace rosemarydrum
