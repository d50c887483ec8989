#pragma once

#include <memory>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A request that this balancer owns, after admission.
struct owned_request {
  request_key key;
  fabric_envelope envelope;
  /// What the caller sent; its header's time left and priority are bounded.
  packet datagram;
  /// Whether it may run more than once: the caller says so and its approval
  /// does not say otherwise.
  bool idempotent = false;
  bool opens_flow = false;
  /// The flow's upstream; 0 if it has none.
  upstream_id pinned{};
  /// Non-idempotent only: the token that names this balancer as the owner.
  token authority;
  /// The witness of `authority` has stopped, so that the request cannot be
  /// recorded.
  bool witness_lost = false;
  /// Seals the flow's next token: the witness of this moment.
  balancer_run next_witness;
  /// Data centres to try when the own one has no capacity, nearest first.
  std::vector<data_centre_id> spill_to;
};

struct request_owner_settings {
  balancer_run self;
  std::size_t max_requests = 100'000;
  /// A grant is void this long after it was asked for. An answer may belong
  /// to either of the latest two copies of an ask, so that the time counts
  /// from the earlier one.
  milliseconds grant_validity{200};
  /// Asked again when the decider has not answered for this long. Two
  /// intervals and a tick of 10 ms must be less than `grant_validity`, or
  /// grants for asks that waited in the decider's queue would be void.
  milliseconds ask_interval{80};
  /// A request waits this long for a decider that may grant nothing before it
  /// goes to another data centre: one that starts with its cell soon knows all
  /// grants.
  milliseconds spill_patience{500};
  /// Recorded again at the witness when it has not answered for this long.
  milliseconds record_interval{50};
  /// Finished requests are kept this long, so that repeats get the same answer.
  seconds keep_finished{2};
  /// Kept after the token's expiry for non-idempotent requests.
  seconds keep_after_expiry{30};
  /// Bytes of kept answers; the oldest are dropped first.
  std::size_t max_kept_bytes = 32 << 20;
  /// A request is hedged after this many times the service's usual latency.
  int hedge_factor = 3;
};

/// Runs the requests that this balancer owns: asks for slots, records
/// non-idempotent ones at the witness, sends, assembles answers, retries.
class request_owner {
 public:
  request_owner(request_owner_settings settings, const token_codec& tokens,
                std::uint64_t seed);
  ~request_owner();

  /// Starts `request`, or answers a repeat as the first one was answered. A
  /// refused idempotent request starts again. A repeat of a non-idempotent
  /// request must carry the token of its first send.
  void on_request(const owned_request& request, time_point now, actions& out);
  /// Whether a record of this request exists here.
  bool knows(const request_key& key) const;
  /// Refuses a request for good, unless it is known already: a later repeat
  /// gets the same refusal. `token_required`, `owner_lost` and
  /// `token_expired` are not kept, because the caller may send again with the
  /// token of the refusal; pass `owner_lost` only after the witness has
  /// closed the request.
  void refuse(const owned_request& request, error_kind error, time_point now,
              actions& out);

  /// This balancer leaves: the tokens of its answers name `owner` and
  /// `witness`.
  void set_successor(balancer_run owner, balancer_run witness);

  void on_slot_answer(balancer_run decider, const slot_answer& answer,
                      time_point now, actions& out);
  void on_record_answer(balancer_run witness, const record_answer& answer,
                        time_point now, actions& out);
  void on_upstream_packet(upstream_id from, const packet& datagram,
                          time_point now, actions& out);
  /// Operators have taken the upstream out, or it is gone: attempts there end.
  void on_upstream_lost(upstream_id upstream, time_point now, actions& out);
  void tick(time_point now, actions& out);

  /// Grants of `shard` in use here, for a new decider.
  std::vector<running_grant> running(shard_id shard, time_point now) const;
  /// Requests that have no final answer yet.
  std::size_t unfinished() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
