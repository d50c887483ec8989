#pragma once

#include <memory>
#include <span>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// How much of a shard's slots this balancer hands out.
enum class slot_authority : std::uint8_t {
  none,
  /// All of them: it holds the shard's lease.
  sole,
  /// Its share of the warm upstreams: the cell has no decider. Asks of other
  /// balancers are refused.
  share,
};

struct slot_table_settings {
  balancer_run self;
  data_centre_id data_centre{};
  /// Asks that wait for a slot, for each service.
  std::size_t max_queue = 1024;
  /// Free again this long after the run deadline if never released.
  milliseconds release_margin{100};
  /// Part of the slots that other data centres do not get: one in this many.
  int spill_reserve = 4;
};

/// Hands out the slots of the upstreams of the shards decided here.
class slot_table {
 public:
  explicit slot_table(slot_table_settings settings);
  ~slot_table();

  /// Takes in services, upstreams and their states. Upstreams that are gone
  /// or out get no new grants.
  void set_configuration(const configuration& current, time_point now,
                         actions& out);

  /// The members of the cell; `share` divides slots by rendezvous rank.
  void set_members(std::span<const balancer_id> members);

  /// Starts or ends this balancer's authority over `shard`. With `sole` and
  /// not handed over, one slot of each warm upstream is kept back and cold
  /// ones get nothing for the longest run time, or until all members in
  /// `reports_from` have sent their grants_report.
  void set_authority(shard_id shard, slot_authority authority,
                     std::span<const balancer_id> reports_from,
                     bool handed_over, time_point now, actions& out);
  slot_authority authority(shard_id shard) const;
  /// Whether this balancer decides `shard` and knows all its grants. Otherwise
  /// it must give the shard up without a lease_handover, so that its successor
  /// waits as well.
  bool may_hand_over(shard_id shard, time_point now) const;

  /// Answers now or later with send_to_peer of a slot_answer to `from`
  /// (which may be this balancer). An ask repeated with the same number gets
  /// the same grant.
  void on_ask(balancer_run from, const slot_ask& ask, time_point now,
              actions& out);
  /// The asker no longer waits for `ask`.
  void on_withdraw(balancer_run from, std::uint64_t ask);
  void on_release(balancer_run from, const slot_release& release,
                  time_point now, actions& out);
  /// A request of this balancer has been answered on another one's grant: takes
  /// in its latency, so that the usual one is known after a take-over.
  void on_answer_seen(const slot_release& release);
  void on_report(balancer_run from, const grants_report& report, time_point now,
                 actions& out);
  void on_handover(const lease_handover& handover, time_point now,
                   actions& out);
  /// What a peer that decides the shards `held` knows of cold upstreams. The
  /// other upstreams of these shards are warm, unless the list is full (64)
  /// or they were opened less than 3 s ago. Pass `held` only if the peer's
  /// configuration is not behind. Has no effect on shards decided here.
  void on_limits(std::span<const upstream_limit> limits,
                 std::span<const shard_id> held = {});

  /// Expires grants and waiting asks.
  void tick(time_point now, actions& out);

  std::vector<running_grant> running(shard_id shard, time_point now) const;
  /// Upstreams of the shards decided here that are not warm, at most 64;
  /// without a decider, those that have been seen to be cold.
  std::vector<upstream_limit> limits() const;
  /// All upstreams of `shard` that are not warm, for a hand-over.
  std::vector<upstream_limit> limits(shard_id shard) const;
  /// In-flight requests of an upstream, for metrics.
  std::size_t in_flight(service_id service, upstream_id upstream) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
