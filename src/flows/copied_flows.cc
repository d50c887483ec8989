#include "flows/copied_flows.h"

namespace rosemarydrum::detail {

bool copied_flows::put(service_id service, std::uint32_t fingerprint,
                       upstream_id upstream, std::size_t max, flow_time now) {
  part& in = part_of(fingerprint);
  const key at{service, fingerprint};
  if (size_ >= max && !in.contains(at)) {
    return false;
  }
  size_ += in.insert_or_assign(at, copy{upstream, now}).second ? 1 : 0;
  return true;
}

std::optional<upstream_id> copied_flows::find(service_id service,
                                              std::uint32_t fingerprint,
                                              flow_time idle, flow_time now) {
  part& in = part_of(fingerprint);
  const auto known = in.find(key{service, fingerprint});
  if (known == in.end() || now - known->second.last_seen >= idle) {
    return std::nullopt;
  }
  known->second.last_seen = now;
  return known->second.upstream;
}

void copied_flows::erase(service_id service, std::uint32_t fingerprint) {
  size_ -= part_of(fingerprint).erase(key{service, fingerprint});
}

void copied_flows::end_upstream(upstream_id upstream) {
  for (part& in : parts_) {
    size_ -= erase_if(in, [upstream](const auto& entry) {
      return entry.second.upstream == upstream;
    });
  }
}

void copied_flows::sweep(flow_time idle, flow_time now) {
  part& in = parts_[next_part_];
  next_part_ = (next_part_ + 1) % part_count;
  size_ -= erase_if(in, [idle, now](const auto& entry) {
    return now - entry.second.last_seen >= idle;
  });
}

}  // namespace rosemarydrum::detail
