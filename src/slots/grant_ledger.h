#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"
#include "slots/wait_queue.h"

namespace rosemarydrum::detail {

/// A grant whose slot is in use.
struct granted_slot {
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  /// The ask that was granted. For a grant of another decider the ask number is
  /// 0, and the balancer id is 0 as well if the grant came by hand-over.
  ask_key asked;
  /// The request must have ended by this time.
  time_point run_deadline;
};

/// The grants known to this balancer that are not released, with their expiry.
class grant_ledger {
 public:
  explicit grant_ledger(milliseconds release_margin)
      : release_margin_(release_margin) {}

  /// Returns false if the grant is already present.
  bool add(const granted_slot& slot);
  /// Returns nullptr if the grant is not present.
  const granted_slot* find(grant_id grant) const;
  /// Removes the grant. Returns nullopt if it is not present.
  std::optional<granted_slot> remove(grant_id grant);
  /// Removes one grant whose run deadline plus margin has passed. Returns
  /// nullopt if there is none.
  std::optional<granted_slot> remove_expired(time_point now);

  /// Returns the grants of `shard` with their remaining run times.
  std::vector<running_grant> running(shard_id shard, time_point now) const;
  /// Calls `visit` with each grant of `service`.
  template <typename Visitor>
  void for_each(service_id service, Visitor visit) const {
    for (const auto& [id, slot] : slots_) {
      if (slot.service == service) {
        visit(slot);
      }
    }
  }

 private:
  milliseconds release_margin_;
  std::unordered_map<grant_id, granted_slot> slots_;
  std::set<std::pair<time_point, grant_id>> by_deadline_;
};

}  // namespace rosemarydrum::detail
