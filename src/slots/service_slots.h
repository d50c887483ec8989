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

/// What may be granted of a service at this moment.
struct grant_rules {
  slot_authority mode = slot_authority::none;
  bool quarantine = false;
  time_point now;
};

/// A service's upstreams in this data centre and the asks that wait for them.
class service_slots {
 public:
  explicit service_slots(service_id id) : id_(id) {}

  /// Takes in the configured upstreams; nullptr if the service is gone.
  void configure(const service* configured, const configuration& current,
                 data_centre_id own, time_point now, actions& out);
  void set_members(balancer_id self, std::span<const balancer_id> members);

  /// Why no upstream could ever take `ask`; none if one could.
  error_kind impossible(const slot_ask& ask) const;

  /// The least loaded upstream that may take `ask` now; nullptr if there is
  /// none. `seed` orders upstreams that are equal in all respects.
  upstream_slots* pick(const slot_ask& ask, const grant_rules& rules,
                       std::uint64_t seed);
  /// Whether a slot is free beyond the reserve of one in `spill_reserve`.
  bool may_spill(const grant_rules& rules, int spill_reserve) const;
  bool has_free(const grant_rules& rules) const;
  /// Whether any slot may be granted now or when one in use is released.
  bool may_grant(const grant_rules& rules) const;

  upstream_slots* find(upstream_id upstream);
  std::vector<upstream_slots>& upstreams() { return upstreams_; }
  const std::vector<upstream_slots>& upstreams() const { return upstreams_; }
  wait_queue& queue() { return queue_; }

  /// Sets the usual latency of `cold` to that of the others, if not known.
  void expect_latency(upstream_slots& cold) const;
  /// Drops upstreams that are gone and idle. True if nothing is left.
  bool prune();

 private:
  void add_event(actions& out, event_id id, upstream_id upstream) const;

  service_id id_;
  std::vector<upstream_slots> upstreams_;
  /// Upstreams in other data centres that are not out.
  std::vector<upstream_id> elsewhere_;
  wait_queue queue_;
};

/// Requests that may run at `upstream` under `rules`.
std::uint32_t usable_limit(const upstream_slots& upstream,
                           const grant_rules& rules);
/// Whether one more request may run at `upstream` under `rules`.
bool is_free(const upstream_slots& upstream, const grant_rules& rules);

}  // namespace rosemarydrum::detail
