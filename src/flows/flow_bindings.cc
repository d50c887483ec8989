#include "flows/flow_bindings.h"

namespace rosemarydrum::detail {

bool flow_bindings::bind(const flow_key& flow, upstream_run upstream,
                         std::size_t max, flow_timestamp now) {
  partition& flows = partition_of(flow);
  const auto found = flows.find(flow);
  if (found != flows.end()) {
    const flow_group& group = groups_[found->group];
    const bool same_upstream =
        group.upstream == upstream ||
        (group.upstream.id == upstream.id && upstream.run == incarnation{});
    if (same_upstream && !group.ended) {
      found->last_seen = now;
      return true;
    }
    remove(flows, found);
  } else if (size_ >= max) {
    return false;
  }
  const auto group = groups_.add_flow(flow.caller, flow.service, upstream);
  flows.insert(entry{flow.flow, group, now});
  ++size_;
  return true;
}

std::optional<upstream_run> flow_bindings::find(const flow_key& flow,
                                                flow_timestamp idle,
                                                flow_timestamp now) {
  partition& flows = partition_of(flow);
  const auto found = flows.find(flow);
  if (found == flows.end()) {
    return std::nullopt;
  }
  const flow_group& group = groups_[found->group];
  if (group.ended || now - found->last_seen >= idle) {
    remove(flows, found);
    return std::nullopt;
  }
  found->last_seen = now;
  return group.upstream;
}

void flow_bindings::erase(const flow_key& flow) {
  partition& flows = partition_of(flow);
  if (const auto found = flows.find(flow); found != flows.end()) {
    remove(flows, found);
  }
}

void flow_bindings::sweep(flow_timestamp idle, flow_timestamp now) {
  partition& flows = partitions_[next_partition_];
  next_partition_ = (next_partition_ + 1) % partition_count;
  for (auto next = flows.begin(); next != flows.end();) {
    const auto it = next++;
    if (groups_[it->group].ended || now - it->last_seen >= idle) {
      remove(flows, it);
    }
  }
}

// Erases the entry before it is removed from its group, because the set's hash
// function reads the group.
void flow_bindings::remove(partition& from, partition::iterator it) {
  const auto group = it->group;
  from.erase(it);
  groups_.remove_flow(group);
  --size_;
}

std::size_t flow_bindings::memory_bytes() const {
  std::size_t bytes = groups_.memory_bytes();
  for (const partition& flows : partitions_) {
    bytes += flows.bucket_count() * (sizeof(entry) + 1);
  }
  return bytes;
}

}  // namespace rosemarydrum::detail
