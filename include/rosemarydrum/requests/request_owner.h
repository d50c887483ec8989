#pragma once

#include <memory>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// An admitted request that this balancer owns.
struct owned_request {
  request_key key;
  fabric_envelope envelope;
  /// The caller's packet, with the time left and the priority capped.
  packet datagram;
  /// Whether the request may run more than once: the caller has marked it so
  /// and its approval allows that.
  bool idempotent = false;
  bool opens_flow = false;
  /// The upstream that the flow is bound to; 0 if none.
  upstream_id pinned{};
  /// Non-idempotent only: the token that names this balancer as the owner.
  token owner_token;
  /// The witness of `owner_token` has stopped, so that the request cannot be
  /// recorded.
  bool witness_lost = false;
  /// The currently chosen witness, for the flow's next token.
  balancer_run next_witness;
  /// Data centres to ask when the own one has no capacity, nearest first.
  std::vector<data_centre_id> spill_to;
};

struct request_owner_settings {
  balancer_run self;
  std::size_t max_requests = 100'000;
  /// A grant is valid for this long after it was asked for. An answer may
  /// belong to either of the latest two copies of an ask, so that the time
  /// counts from the earlier one.
  milliseconds grant_validity{200};
  /// An ask is repeated if the decider has not answered for this long. Two
  /// intervals and a tick of 10 ms must be less than `grant_validity`, or
  /// grants for asks that waited in the decider's queue would be void.
  milliseconds ask_interval{80};
  /// A request waits this long for a decider that may not grant anything yet
  /// before it spills to another data centre. A decider that starts together
  /// with its cell soon knows all grants, so spilling earlier is unnecessary.
  milliseconds spill_delay{500};
  /// The message that asks the witness to record a request is repeated if it
  /// has not been answered for this long.
  milliseconds record_interval{50};
  /// Results of finished requests are kept at least this long, so that repeats
  /// get the same answer.
  seconds keep_finished{2};
  /// Results of non-idempotent requests are kept this long after their token's
  /// expiry.
  seconds keep_after_expiry{30};
  /// Limit on the bytes of kept answers; the oldest are dropped first.
  std::size_t max_kept_bytes = 32 << 20;
  /// A request is hedged after this multiple of the service's usual latency.
  int hedge_factor = 3;
};

/// Runs the requests that this balancer owns: asks for slots, records
/// non-idempotent requests at the witness, sends attempts to upstreams,
/// assembles answers, retries and hedges.
class request_owner {
 public:
  request_owner(request_owner_settings settings, const token_codec& tokens,
                std::uint64_t seed);
  ~request_owner();

  /// Starts `request`, or answers a repeat with the result of the first one. A
  /// repeat of a refused idempotent request starts again. A repeat of a
  /// non-idempotent request must carry the token of its first send.
  void on_request(const owned_request& request, time_point now, actions& out);
  /// Whether this request is in progress or its result is kept here.
  bool knows(const request_key& key) const;
  /// Refuses a new request and keeps the refusal, so that a repeat gets the
  /// same. A finished request gets its result again; one in progress goes on.
  /// `token_required`, `owner_lost` and `token_expired` are not kept, because
  /// the caller may send again with the token of the refusal; pass `owner_lost`
  /// only after the witness has closed the request.
  void refuse(const owned_request& request, error_kind error, time_point now,
              actions& out);

  /// Makes the tokens of replies name `owner` and `witness`. Called when this
  /// balancer leaves.
  void set_successor(balancer_run owner, balancer_run witness);

  void on_slot_answer(balancer_run decider, const slot_answer& answer,
                      time_point now, actions& out);
  void on_record_answer(balancer_run witness, const record_answer& answer,
                        time_point now, actions& out);
  void on_upstream_packet(upstream_id from, const packet& datagram,
                          time_point now, actions& out);
  /// Ends the attempts at an upstream that operators have taken out or that is
  /// gone, then retries or asks for other slots.
  void on_upstream_lost(upstream_id upstream, time_point now, actions& out);
  void tick(time_point now, actions& out);

  /// Grants of `shard` that are in use here, to report to a new decider.
  std::vector<running_grant> running(shard_id shard, time_point now) const;
  /// Number of requests in progress.
  std::size_t unfinished() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
