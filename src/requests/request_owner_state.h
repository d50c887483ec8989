#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "requests/active_request.h"
#include "requests/kept_requests.h"
#include "requests/reply_writer.h"
#include "rosemarydrum/requests/request_owner.h"
#include "slots/grant_memory.h"
#include "slots/service_history.h"

namespace rosemarydrum {

/// The requests of one owner. A function that may finish a request says so;
/// references to the request are invalid after it.
struct request_owner::state {
  using attempt = detail::request_attempt;
  using active = detail::active_request;

  state(request_owner_settings initial, const token_codec& tokens,
        std::uint64_t seed);

  // request_owner.cc: begin and end of requests.
  bool has_room();
  void start(const owned_request& request, time_point now, actions& out);
  /// Ends all attempts and sends the refusal. Finishes the request.
  void refuse_active(active& entry, error_kind error, time_point now,
                     actions& out);
  /// Refuses a request whose witness has stopped.
  void refuse_unrecorded(const owned_request& request, time_point now,
                         actions& out);
  void refuse_new(const owned_request& request, error_kind error,
                  time_point now, actions& out);
  void finish(active& entry, detail::kept_request ended, time_point now,
              actions& out);
  time_point keep_until(const owned_request& request, time_point now) const;

  // request_owner_slots.cc: slots, records and sending.
  void start_attempt(active& entry, bool is_hedge, time_point now,
                     actions& out);
  /// Sends the ask once more under its number.
  void ask_again(active& entry, attempt& a, time_point now, actions& out);
  /// Asks under a new number; answers to the old one are void.
  /// Answers to the former number no longer count. Asked when it is due.
  void number_ask(const active& entry, attempt& a, time_point now);
  void renew_ask(active& entry, attempt& a, time_point now, actions& out);
  void ask_record(active& entry, time_point now, actions& out);
  /// May finish the request.
  void on_ask_refused(active& entry, attempt& a, const slot_answer& refusal,
                      time_point now, actions& out);
  /// Asks in the next data centre, or in all again if one of them may recover.
  bool spill_on(active& entry, attempt& a, time_point now, actions& out);
  /// May finish the request.
  void on_grant(active& entry, attempt& a, balancer_run decider,
                const slot_answer& answer, time_point now, actions& out);
  /// Sends a granted attempt once nothing stands in its way.
  void try_send(active& entry, attempt& a, time_point now, actions& out);
  void send(active& entry, attempt& a, time_point now, actions& out);
  void release(const active& entry, const attempt& a, attempt_outcome outcome,
               time_point now, actions& out) const;

  // request_owner_attempts.cc: what happens to sent attempts.
  /// Releases and forgets `a`; `cancel` tells its upstream.
  void end_attempt(active& entry, attempt& a, attempt_outcome outcome,
                   bool cancel, time_point now, actions& out);
  /// What a sent attempt has shown that ends before its answer.
  attempt_outcome outcome_if_ended(const active& entry, const attempt& a,
                                   time_point now) const;
  /// `a` has failed: retries or refuses. May finish the request.
  void fail_attempt(active& entry, attempt& a, attempt_outcome outcome,
                    time_point now, actions& out);
  /// May finish the request.
  void on_part(active& entry, attempt& a, const packet& part, time_point now,
               actions& out);
  /// Finishes the request.
  void complete(active& entry, attempt& winner, time_point now, actions& out);

  // request_owner_timers.cc: what is due after some time.
  /// May finish the request.
  void on_time(active& entry, time_point now, actions& out);
  /// Refuses the request at its deadline.
  void expire(active& entry, time_point now, actions& out);
  /// False if the attempt has failed; the request may have finished.
  bool on_attempt_time(active& entry, attempt& a, time_point now, actions& out);
  void ask_resend(const active& entry, attempt& a, time_point now,
                  actions& out) const;
  void maybe_hedge(active& entry, time_point now, actions& out);
  time_point due_time(const active& entry) const;
  /// Time in which the first part of an answer is expected.
  duration patience(const active& entry) const;
  duration resend_after(const active& entry, const attempt& a) const;

  active* find_active(const request_key& key);
  attempt* find_attempt(active& entry, std::uint64_t ask);

  request_owner_settings settings;
  detail::reply_writer replies;
  std::mt19937_64 random;
  std::uint64_t next_ask = 0;
  std::unordered_map<request_key, active> running;
  detail::kept_requests kept;
  /// The requests of open asks and of sent attempts.
  std::unordered_map<std::uint64_t, request_key> by_ask;
  std::unordered_map<std::uint32_t, request_key> by_number;
  detail::grant_memory grants;
  std::unordered_map<service_id, detail::service_history> histories;
  /// Bytes of the parts of incomplete answers.
  std::size_t assembling_bytes = 0;
};

}  // namespace rosemarydrum
