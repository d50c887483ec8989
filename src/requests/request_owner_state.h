#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "requests/active_request.h"
#include "requests/finished_requests.h"
#include "requests/reply_writer.h"
#include "rosemarydrum/requests/request_owner.h"
#include "slots/accepted_grants.h"
#include "slots/service_statistics.h"

namespace rosemarydrum {

/// The requests of one owner. Finishing a request invalidates references to
/// it, so the comment of each function that may do so says this.
struct request_owner::state {
  using attempt = detail::request_attempt;
  using active = detail::active_request;

  state(request_owner_settings initial, const token_codec& tokens,
        std::uint64_t seed);

  // request_owner.cc: start and end of requests.
  /// Returns whether there is room for another request, after evicting a
  /// finished one if necessary.
  bool make_room();
  /// Asks for a slot and, if necessary, for a record. Finishes the request if
  /// its deadline has passed.
  void start(const owned_request& request, time_point now, actions& out);
  /// Cancels all attempts and sends the refusal. Finishes the request.
  void refuse_active(active& entry, error_kind error, time_point now,
                     actions& out);
  /// Refuses a request that has not started, because its witness has stopped.
  void refuse_unrecorded(const owned_request& request, time_point now,
                         actions& out);
  /// Refuses a request that has not started. Keeps the refusal if there is
  /// room, unless the error asks the caller to send again.
  void refuse_new(const owned_request& request, error_kind error,
                  time_point now, actions& out);
  /// Sends the result, and keeps it for repeats. Finishes the request.
  void finish(active& entry, detail::finished_request result, time_point now,
              actions& out);
  /// When the kept result of a request expires.
  time_point keep_until(const owned_request& request, time_point now) const;

  // request_owner_slots.cc: asking for slots and records, sending attempts.
  void start_attempt(active& entry, bool is_hedge, time_point now,
                     actions& out);
  /// Sends or repeats the ask under its current number.
  void send_ask(active& entry, attempt& a, time_point now, actions& out);
  /// Gives the ask a new number, so that answers to the former one no longer
  /// count. The ask is sent after the next `ask_interval`.
  void assign_ask_number(const active& entry, attempt& a, time_point now);
  /// Sends the ask at once under a new number.
  void send_new_ask(active& entry, attempt& a, time_point now, actions& out);
  /// Asks the witness to record the request.
  void send_record_ask(active& entry, time_point now, actions& out);
  /// May finish the request.
  void on_ask_refused(active& entry, attempt& a, const slot_answer& refusal,
                      time_point now, actions& out);
  /// Sends the ask to the next data centre. After the last one, starts again
  /// with the own one if any of them may recover; returns false otherwise.
  bool spill_to_next(active& entry, attempt& a, time_point now, actions& out);
  /// May finish the request.
  void on_grant(active& entry, attempt& a, balancer_run decider,
                const slot_answer& answer, time_point now, actions& out);
  /// Sends a granted attempt if its grant is valid and the witness has recorded
  /// the request. Asks for a new grant if it is void.
  void try_send(active& entry, attempt& a, time_point now, actions& out);
  void send(active& entry, attempt& a, time_point now, actions& out);
  void release(const active& entry, const attempt& a, attempt_outcome outcome,
               time_point now, actions& out) const;

  // request_owner_attempts.cc: answers and failures of sent attempts.
  /// Releases the slot of `a` and erases it. With `cancel`, a sent attempt is
  /// cancelled at its upstream.
  void end_attempt(active& entry, attempt& a, attempt_outcome outcome,
                   bool cancel, time_point now, actions& out);
  /// The outcome to report to the decider for a sent attempt that is cancelled:
  /// `timed_out` only if it has taken longer than expected.
  attempt_outcome outcome_if_cancelled(const active& entry, const attempt& a,
                                       time_point now) const;
  /// Ends the failed attempt `a`, then retries or refuses the request. May
  /// finish it.
  void fail_attempt(active& entry, attempt& a, attempt_outcome outcome,
                    time_point now, actions& out);
  /// May finish the request.
  void on_answer_part(active& entry, attempt& a, const packet& part,
                      time_point now, actions& out);
  /// Answers the request with the answer of `winner` and cancels the other
  /// attempt. Finishes the request.
  void complete(active& entry, attempt& winner, time_point now, actions& out);

  // request_owner_timers.cc: timeouts, repeats and hedges.
  /// Runs the timers of the request that are due. May finish the request.
  void on_timer(active& entry, time_point now, actions& out);
  /// Refuses the request at its deadline. Finishes the request.
  void expire(active& entry, time_point now, actions& out);
  /// Returns false if the attempt has failed; the request may be finished then.
  bool on_attempt_timer(active& entry, attempt& a, time_point now,
                        actions& out);
  /// Asks the upstream to send missing parts of its answer again.
  void request_resend(const active& entry, attempt& a, time_point now,
                      actions& out) const;
  /// Starts a second attempt if the first part of the answer is overdue.
  void maybe_hedge(active& entry, time_point now, actions& out);
  /// When the next timer of the request is due.
  time_point due_time(const active& entry) const;
  /// Time after a send in which the first part of the answer is expected.
  duration first_part_timeout(const active& entry) const;
  /// Time without progress after which missing parts are requested again.
  duration resend_after(const active& entry, const attempt& a) const;

  active* find_active(const request_key& key);
  attempt* find_attempt(active& entry, std::uint64_t ask);

  request_owner_settings settings;
  detail::reply_writer replies;
  std::mt19937_64 random;
  std::uint64_t last_ask_number = 0;
  std::unordered_map<request_key, active> active_requests;
  detail::finished_requests finished;
  /// Requests by the numbers of their asks.
  std::unordered_map<std::uint64_t, request_key> by_ask;
  /// Requests by the numbers of their sent attempts.
  std::unordered_map<std::uint32_t, request_key> by_number;
  detail::accepted_grants grants;
  std::unordered_map<service_id, detail::service_statistics> histories;
  /// Bytes of the parts of incomplete answers.
  std::size_t incomplete_answer_bytes = 0;
};

}  // namespace rosemarydrum
