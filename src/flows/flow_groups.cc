#include "flows/flow_groups.h"

namespace rosemarydrum::detail {

std::uint32_t flow_groups::join(caller_id caller, service_id service,
                                upstream_run upstream) {
  const auto next =
      static_cast<std::uint32_t>(free_.empty() ? groups_.size() : free_.back());
  const auto [found, is_new] =
      index_.try_emplace({caller, service, upstream}, next);
  if (is_new) {
    if (free_.empty()) {
      groups_.emplace_back();
    } else {
      free_.pop_back();
    }
    groups_[next] = {caller, service, upstream, false, 0};
  }
  ++groups_[found->second].flows;
  return found->second;
}

void flow_groups::leave(std::uint32_t index) {
  flow_group& group = groups_[index];
  if (--group.flows > 0) {
    return;
  }
  if (!group.ended) {
    index_.erase({group.caller, group.service, group.upstream});
  }
  free_.push_back(index);
}

void flow_groups::end_upstream(upstream_id upstream) {
  for (flow_group& group : groups_) {
    if (group.upstream.id == upstream && group.flows > 0 && !group.ended) {
      group.ended = true;
      index_.erase({group.caller, group.service, group.upstream});
    }
  }
}

std::size_t flow_groups::memory_bytes() const {
  // A node of the index: key, value, hash and link.
  constexpr std::size_t node = sizeof(group_key) + 24;
  return groups_.capacity() * sizeof(flow_group) +
         free_.capacity() * sizeof(std::uint32_t) + index_.size() * node +
         index_.bucket_count() * sizeof(void*);
}

}  // namespace rosemarydrum::detail
