#include "rosemarydrum/forwarding/flow_records.h"

namespace rosemarydrum {
namespace {

/// Copies of an opening packet arrive within this time. A later one belongs to
/// another flow of the same ends.
constexpr milliseconds max_copy_delay{2000};

}  // namespace

void flow_records::apply(const flow_record& record, time_point now) {
  const auto made_at = now - record.age;
  if (record.kind == flow_record_kind::opening) {
    const auto known = upstreams_.find(record.flow);
    if (known != upstreams_.end() &&
        made_at - known->second.made_at > max_copy_delay) {
      upstreams_.erase(known);
    }
    return;
  }
  if (record.age >= lifetime_) {
    return;
  }
  const auto known = upstreams_.find(record.flow);
  const bool is_valid =
      known != upstreams_.end() && now - known->second.made_at < lifetime_;
  if (is_valid && known->second.made_at <= made_at) {
    // A later one may come from a late answer.
    return;
  }
  upstreams_[record.flow] = {record.upstream, made_at};
  made_.push_back({record.flow, made_at});
  if (made_.size() > max_flow_records) {
    drop_oldest();
  }
}

std::optional<flow_record> flow_records::find(const flow_ends& flow,
                                              time_point now) const {
  const auto found = upstreams_.find(flow);
  if (found == upstreams_.end() || now - found->second.made_at >= lifetime_) {
    return std::nullopt;
  }
  return record_of(flow, found->second, now);
}

std::vector<flow_record> flow_records::all(time_point now) const {
  std::vector<flow_record> records;
  records.reserve(upstreams_.size());
  for (const auto& [flow, known] : upstreams_) {
    records.push_back(record_of(flow, known, now));
  }
  return records;
}

flow_record flow_records::record_of(const flow_ends& flow, const entry& known,
                                    time_point now) {
  return {flow, flow_record_kind::open, known.upstream,
          std::chrono::duration_cast<milliseconds>(now - known.made_at)};
}

void flow_records::expire(time_point now) {
  while (!made_.empty() && now - made_.front().made_at >= lifetime_) {
    drop_oldest();
  }
}

void flow_records::drop_oldest() {
  const auto oldest = made_.front();
  made_.pop_front();
  const auto found = upstreams_.find(oldest.flow);
  if (found != upstreams_.end() && found->second.made_at == oldest.made_at) {
    upstreams_.erase(found);
  }
}

}  // namespace rosemarydrum
