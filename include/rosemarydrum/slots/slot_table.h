#pragma once

#include <memory>
#include <span>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Which slots of a shard this balancer may grant.
enum class slot_authority : std::uint8_t {
  none,
  /// All slots, because this balancer holds the shard's lease.
  sole,
  /// This balancer's share of the slots of warm upstreams, while the shard has
  /// no decider. Asks of other balancers are refused.
  share,
};

struct slot_table_settings {
  balancer_run self;
  data_centre_id data_centre{};
  /// Maximum number of asks that wait for a slot, for each service.
  std::size_t max_queue = 1024;
  /// A grant that is not released expires this long after its run deadline.
  milliseconds release_margin{100};
  /// One in this many slots of a service is reserved for asks of the own data
  /// centre.
  int spill_reserve = 4;
};

/// Grants the slots of the upstreams of one data centre, for the shards over
/// which this balancer has authority. A slot is the right to run one request at
/// an upstream; an ask is a balancer's message that requests one.
class slot_table {
 public:
  explicit slot_table(slot_table_settings settings);
  ~slot_table();

  /// Applies the configured services, upstreams and their states. Upstreams
  /// that are removed or out get no new grants; one that is drained still gets
  /// grants for flows that are pinned to it.
  void set_configuration(const configuration& current, time_point now,
                         actions& out);

  /// Sets the members of the cell. With slot_authority::share the slots are
  /// divided among them by rendezvous rank.
  void set_members(std::span<const balancer_id> members);

  /// Sets this balancer's authority over `shard`. A change to `sole` that is
  /// not `handed_over` starts a quarantine: one slot of each warm upstream
  /// stays free and upstreams that are not warm get no grants. It ends when all
  /// members in `reports_from` have sent their grants_report, and at the latest
  /// after `max_run_time` plus the release margin.
  void set_authority(shard_id shard, slot_authority authority,
                     std::span<const balancer_id> reports_from,
                     bool handed_over, time_point now, actions& out);
  slot_authority authority(shard_id shard) const;
  /// Returns whether this balancer decides `shard` and knows all its grants.
  /// Otherwise it must release the shard without a lease_handover, so that its
  /// successor starts a quarantine as well.
  bool may_hand_over(shard_id shard, time_point now) const;

  /// Processes an ask. The slot_answer to `from`, which may be this balancer,
  /// is emitted now or by a later call. An ask repeated with the same number
  /// gets the same grant. Without authority there is no answer.
  void on_ask(balancer_run from, const slot_ask& ask, time_point now,
              actions& out);
  /// Cancels `ask` if it is still waiting.
  void on_withdraw(balancer_run from, std::uint64_t ask);
  /// Frees the slot of a grant and updates the upstream's health. Only its
  /// owner can release a grant, or any balancer if the grant came by hand-over.
  void on_release(balancer_run from, const slot_release& release,
                  time_point now, actions& out);
  /// Records the latency of a request that ran on another decider's grant, so
  /// that the usual latency is known after a take-over.
  void observe_latency(const slot_release& release);
  /// Adds the running grants that a member reports to a new decider.
  void on_report(balancer_run from, const grants_report& report, time_point now,
                 actions& out);
  /// Adds the grants and limits of the previous decider of a shard.
  void on_handover(const lease_handover& handover, time_point now,
                   actions& out);
  /// Applies the limits of upstreams that are not warm, as known to a peer that
  /// decides the shards `held`. The other upstreams of these shards are taken
  /// for warm, unless the list is full (64 entries) or they were enabled less
  /// than 3 s ago. `held` must be empty if the peer's configuration is older
  /// than this balancer's. Has no effect on shards decided here.
  void on_limits(std::span<const upstream_limit> limits,
                 std::span<const shard_id> held = {});

  /// Expires grants and waiting asks, and removes unused services.
  void tick(time_point now, actions& out);

  /// Returns the grants of `shard` that are not released or expired.
  std::vector<running_grant> running(shard_id shard, time_point now) const;
  /// Returns the limits of upstreams that are not warm, at most 64, for the
  /// shards decided here. For shards without a decider, only upstreams whose
  /// run is known are included.
  std::vector<upstream_limit> limits() const;
  /// Returns the limits of all upstreams of `shard` that are not warm, for a
  /// hand-over.
  std::vector<upstream_limit> limits(shard_id shard) const;
  /// Returns the number of running grants of an upstream, for metrics.
  std::size_t in_flight(service_id service, upstream_id upstream) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
