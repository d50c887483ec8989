#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "membership/shard_authority.h"
#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "slots/upstream_slots.h"
#include "slots/wait_queue.h"

namespace rosemarydrum::detail {

/// The restrictions on grants of a service at one moment.
struct grant_rules {
  slot_authority mode = slot_authority::none;
  bool quarantine = false;
  time_point now;
};

/// The upstreams of a service in this data centre, and the asks that wait for
/// their slots.
class service_slots {
 public:
  explicit service_slots(service_id id) : id_(id) {}

  /// Applies the configuration of the service; nullptr if it was removed. `own`
  /// is this balancer's data centre.
  void configure(const service* configured, const configuration& current,
                 data_centre_id own, time_point now, actions& out);
  /// Computes this balancer's share of the slots of each upstream.
  void set_members(balancer_id self, std::span<const balancer_id> members);

  /// Returns the error for an ask that no upstream can serve, now or later;
  /// none if one can.
  error_kind unservable_error(const slot_ask& ask) const;

  /// Returns the least loaded upstream with a free slot for `ask`, or nullptr.
  /// `seed` breaks ties between upstreams of equal load.
  upstream_slots* pick(const slot_ask& ask, const grant_rules& rules,
                       std::uint64_t seed);
  /// Returns whether an ask of another data centre may get a slot, so that one
  /// in `spill_reserve` slots stays free.
  bool may_spill(const grant_rules& rules, int spill_reserve) const;
  /// Returns whether any upstream has a free slot.
  bool has_free(const grant_rules& rules) const;
  /// Returns whether a slot can be granted now or once one in use is released.
  bool may_grant(const grant_rules& rules) const;

  upstream_slots* find(upstream_id upstream);
  std::vector<upstream_slots>& upstreams() { return upstreams_; }
  const std::vector<upstream_slots>& upstreams() const { return upstreams_; }
  wait_queue& queue() { return queue_; }

  /// Sets the usual latency of `upstream` to the mean of the other upstreams if
  /// it has no estimate.
  void set_expected_latency(upstream_slots& upstream) const;
  /// Removes upstreams that are neither listed nor in use. Returns true if
  /// there is nothing left of the service.
  bool prune();

 private:
  void add_event(actions& out, event_id id, upstream_id upstream) const;

  service_id id_;
  std::vector<upstream_slots> upstreams_;
  /// Upstreams in other data centres that are not out.
  std::vector<upstream_id> remote_upstreams_;
  wait_queue queue_;
};

/// Returns how many requests may run at `upstream` under `rules`.
std::uint32_t usable_limit(const upstream_slots& upstream,
                           const grant_rules& rules);
/// Returns whether one more request may run at `upstream` under `rules`.
bool is_free(const upstream_slots& upstream, const grant_rules& rules);

}  // namespace rosemarydrum::detail
