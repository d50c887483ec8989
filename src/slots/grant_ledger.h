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

/// A slot that is in use.
struct granted_slot {
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  /// The ask it answers; its balancer is 0 if another decider has granted it
  /// and handed it over.
  ask_key asked;
  /// The request must have ended by then.
  time_point run_deadline;
};

/// All grants that this balancer knows of, with their expiry.
class grant_ledger {
 public:
  explicit grant_ledger(milliseconds release_margin)
      : release_margin_(release_margin) {}

  /// False if the grant is known already.
  bool add(const granted_slot& slot);
  const granted_slot* find(grant_id grant) const;
  /// Removes the grant; nullopt if it is not known.
  std::optional<granted_slot> remove(grant_id grant);
  /// Removes a grant whose run deadline plus margin has passed.
  std::optional<granted_slot> remove_expired(time_point now);

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
