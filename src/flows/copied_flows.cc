#include "flows/copied_flows.h"

namespace rosemarydrum::detail {

bool copied_flows::put(service_id service, std::uint32_t fingerprint,
                       upstream_id upstream, std::size_t max,
                       flow_timestamp now) {
  partition& flows = partition_of(fingerprint);
  const key id{service, fingerprint};
  if (size_ >= max && !flows.contains(id)) {
    return false;
  }
  size_ += flows.insert_or_assign(id, copy{upstream, now}).second ? 1 : 0;
  return true;
}

std::optional<upstream_id> copied_flows::find(service_id service,
                                              std::uint32_t fingerprint,
                                              flow_timestamp idle,
                                              flow_timestamp now) {
  partition& flows = partition_of(fingerprint);
  const auto found = flows.find(key{service, fingerprint});
  if (found == flows.end() || now - found->second.last_seen >= idle) {
    return std::nullopt;
  }
  found->second.last_seen = now;
  return found->second.upstream;
}

void copied_flows::erase(service_id service, std::uint32_t fingerprint) {
  size_ -= partition_of(fingerprint).erase(key{service, fingerprint});
}

void copied_flows::end_upstream(upstream_id upstream) {
  for (partition& flows : partitions_) {
    size_ -= erase_if(flows, [upstream](const auto& entry) {
      return entry.second.upstream == upstream;
    });
  }
}

void copied_flows::sweep(flow_timestamp idle, flow_timestamp now) {
  partition& flows = partitions_[next_partition_];
  next_partition_ = (next_partition_ + 1) % partition_count;
  size_ -= erase_if(flows, [idle, now](const auto& entry) {
    return now - entry.second.last_seen >= idle;
  });
}

}  // namespace rosemarydrum::detail
