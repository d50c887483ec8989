#include "slots/grant_ledger.h"

#include <algorithm>

namespace rosemarydrum::detail {

bool grant_ledger::add(const granted_slot& slot) {
  if (!slots_.emplace(slot.grant, slot).second) {
    return false;
  }
  by_deadline_.emplace(slot.run_deadline, slot.grant);
  return true;
}

const granted_slot* grant_ledger::find(grant_id grant) const {
  const auto found = slots_.find(grant);
  return found == slots_.end() ? nullptr : &found->second;
}

std::optional<granted_slot> grant_ledger::remove(grant_id grant) {
  const auto found = slots_.find(grant);
  if (found == slots_.end()) {
    return std::nullopt;
  }
  const granted_slot slot = found->second;
  by_deadline_.erase({slot.run_deadline, grant});
  slots_.erase(found);
  return slot;
}

std::optional<granted_slot> grant_ledger::remove_expired(time_point now) {
  if (by_deadline_.empty() ||
      now < by_deadline_.begin()->first + release_margin_) {
    return std::nullopt;
  }
  return remove(by_deadline_.begin()->second);
}

std::vector<running_grant> grant_ledger::running(shard_id shard,
                                                 time_point now) const {
  std::vector<running_grant> result;
  for (const auto& [deadline, id] : by_deadline_) {
    const granted_slot& slot = slots_.at(id);
    if (shard_of(slot.service) == shard) {
      const auto time_left = std::chrono::ceil<milliseconds>(
          std::max(deadline - now, duration::zero()));
      result.push_back({id, slot.service, slot.upstream,
                        static_cast<std::uint32_t>(time_left.count())});
    }
  }
  return result;
}

}  // namespace rosemarydrum::detail
