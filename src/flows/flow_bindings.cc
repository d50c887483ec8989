#include "flows/flow_bindings.h"

namespace rosemarydrum::detail {

bool flow_bindings::bind(const flow_key& flow, upstream_run upstream,
                         std::size_t max, flow_time now) {
  part& in = part_of(flow);
  const auto known = in.find(flow);
  if (known != in.end()) {
    const flow_group& group = groups_[known->group];
    const bool same =
        group.upstream == upstream ||
        (group.upstream.id == upstream.id && upstream.run == incarnation{});
    if (same && !group.ended) {
      known->last_seen = now;
      return true;
    }
    remove(in, known);
  } else if (size_ >= max) {
    return false;
  }
  const auto group = groups_.join(flow.caller, flow.service, upstream);
  in.insert(entry{flow.flow, group, now});
  ++size_;
  return true;
}

std::optional<upstream_run> flow_bindings::find(const flow_key& flow,
                                                flow_time idle, flow_time now) {
  part& in = part_of(flow);
  const auto known = in.find(flow);
  if (known == in.end()) {
    return std::nullopt;
  }
  const flow_group& group = groups_[known->group];
  if (group.ended || now - known->last_seen >= idle) {
    remove(in, known);
    return std::nullopt;
  }
  known->last_seen = now;
  return group.upstream;
}

void flow_bindings::erase(const flow_key& flow) {
  part& in = part_of(flow);
  if (const auto known = in.find(flow); known != in.end()) {
    remove(in, known);
  }
}

void flow_bindings::sweep(flow_time idle, flow_time now) {
  part& in = parts_[next_part_];
  next_part_ = (next_part_ + 1) % part_count;
  for (auto next = in.begin(); next != in.end();) {
    const auto at = next++;
    if (groups_[at->group].ended || now - at->last_seen >= idle) {
      remove(in, at);
    }
  }
}

// The entry is removed before it leaves its group, because the table's hash
// needs the group.
void flow_bindings::remove(part& from, part::iterator at) {
  const auto group = at->group;
  from.erase(at);
  groups_.leave(group);
  --size_;
}

std::size_t flow_bindings::memory_bytes() const {
  std::size_t bytes = groups_.memory_bytes();
  for (const part& in : parts_) {
    bytes += in.bucket_count() * (sizeof(entry) + 1);
  }
  return bytes;
}

}  // namespace rosemarydrum::detail
