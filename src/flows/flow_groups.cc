#include "flows/flow_groups.h"

namespace rosemarydrum::detail {

std::uint32_t flow_groups::add_flow(caller_id caller, service_id service,
                                    upstream_run upstream) {
  const auto next_index = static_cast<std::uint32_t>(
      free_indexes_.empty() ? groups_.size() : free_indexes_.back());
  const auto [found, is_new] =
      index_.try_emplace({caller, service, upstream}, next_index);
  if (is_new) {
    if (free_indexes_.empty()) {
      groups_.emplace_back();
    } else {
      free_indexes_.pop_back();
    }
    groups_[next_index] = {caller, service, upstream, false, 0};
  }
  ++groups_[found->second].flow_count;
  return found->second;
}

void flow_groups::remove_flow(std::uint32_t index) {
  flow_group& group = groups_[index];
  if (--group.flow_count > 0) {
    return;
  }
  if (!group.ended) {
    index_.erase({group.caller, group.service, group.upstream});
  }
  free_indexes_.push_back(index);
}

void flow_groups::end_upstream(upstream_id upstream) {
  for (flow_group& group : groups_) {
    if (group.upstream.id == upstream && group.flow_count > 0 && !group.ended) {
      group.ended = true;
      index_.erase({group.caller, group.service, group.upstream});
    }
  }
}

std::size_t flow_groups::memory_bytes() const {
  // A node of the index holds the key, the value, a hash and a link.
  constexpr std::size_t node_bytes = sizeof(group_key) + 24;
  return groups_.capacity() * sizeof(flow_group) +
         free_indexes_.capacity() * sizeof(std::uint32_t) +
         index_.size() * node_bytes + index_.bucket_count() * sizeof(void*);
}

}  // namespace rosemarydrum::detail
