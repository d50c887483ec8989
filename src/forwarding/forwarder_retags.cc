#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

// Several upstreams may answer an opening packet: this forwarder repeats it,
// and another one may have sent it before the flow's packets moved here. The
// caller opens the flow at the upstream that answers first, but takes over the
// tag of each later answer as well. Opening packets therefore have tags of
// their own, which do not show that the upstream holds the flow. The upstreams
// that were tried in vain are told the tag of the one that does, and the other
// members which one it is.

namespace rosemarydrum {

std::optional<upstream_index> forwarder::upstream_of(const flow_packet& packet,
                                                     const open_flow* flow,
                                                     time_point now) const {
  if (flow != nullptr && flow->stage != flow_stage::opening) {
    return flow->upstream;
  }
  if (directory_.is_opening_tag(packet.tag)) {
    if (const auto record = records_.find(packet.flow, now)) {
      if (const auto index = directory_.find(record->upstream)) {
        return index;
      }
    }
  }
  return directory_.find(packet.tag);
}

// The first tag of a flow names its upstream; those of later answers may not.
void forwarder::on_first_tag(open_flow& flow, upstream_tag tag,
                             time_point now) {
  if (!flow.was_placed_here()) {
    if (directory_.is_opening_tag(tag)) {
      // Another forwarder has sent the opening packet and waits for the answer.
      tell_others(flow, flow_record_kind::open, now);
    }
    return;
  }
  flow.is_shared = flow.is_shared || !was_tried(flow, flow.upstream);
  if (flow.is_shared || flow.tried.size() > 1) {
    tell_others(flow, flow_record_kind::open, now);
    retag_other_upstreams(flow, now);
  } else {
    flow.opening = {};
  }
}

bool forwarder::was_tried(const open_flow& flow,
                          upstream_index upstream) const {
  const auto key = directory_.at(upstream).record.key;
  return std::find(flow.tried.begin(), flow.tried.end(), key) !=
         flow.tried.end();
}

// Those that were tried last may still answer for the longest time.
void forwarder::retag_other_upstreams(open_flow& flow, time_point now) {
  auto others = flow.tried;
  std::erase(others, directory_.at(flow.upstream).record.key);
  for (std::size_t i = 0; i < max_retagged_upstreams && !others.empty(); ++i) {
    retag(flow, others.back(), now);
    others.pop_back();
  }
}

// An upstream answers with the latest tag that it has received on the flow.
void forwarder::retag(open_flow& flow, upstream_key other, time_point now) {
  const auto index = directory_.find(other);
  if (!index || !directory_.at(*index).takes_flows(confirmed_) ||
      placement_.is_out(directory_.at(*index).record.data_centre)) {
    return;
  }
  flow.retagged_at = now;
  ++flow.retags;
  const auto& holder = directory_.at(flow.upstream);
  auto verdict = to_upstream(*index, verdict_reason::retagged);
  verdict.tag = holder.tag;
  due_.push_back({verdict, flow.opening});
  observer_.on_retagged(flow, holder, directory_.at(*index), now);
}

// The upstream of `tag` has answered late, and was not told the flow's tag.
void forwarder::on_other_tag(open_flow& flow, upstream_tag tag,
                             time_point now) {
  const auto other = directory_.find(tag);
  const bool may_retag = other && *other != flow.upstream &&
                         !flow.opening.empty() && flow.retags < max_retags &&
                         now - flow.retagged_at >= retag_interval;
  if (!may_retag) {
    return;
  }
  retag(flow, directory_.at(*other).record.key, now);
}

// Another forwarder has seen the flow open, so that an opening packet that
// arrives here is a delayed copy. Later ones belong to another flow of the same
// ends.
std::optional<upstream_index> forwarder::opened_elsewhere(const flow_ends& flow,
                                                          time_point now) {
  const auto record = records_.find(flow, now);
  if (!record) {
    return std::nullopt;
  }
  if (record->age < max_opening_time) {
    return directory_.find(record->upstream);
  }
  new_records_.push_back({flow, flow_record_kind::opening, {}, {}});
  records_.apply(new_records_.back(), now);
  return std::nullopt;
}

void forwarder::on_flow_record(const flow_record& record, time_point now) {
  records_.apply(record, now);
  auto* flow = flows_.find(record.flow);
  if (flow == nullptr) {
    return;
  }
  if (record.kind == flow_record_kind::opening) {
    const bool is_same =
        flow->was_placed_here() && now - flow->began < max_opening_time;
    if (flow->stage == flow_stage::opening) {
      flow->is_shared = true;
    } else if (flow->stage == flow_stage::open && is_same) {
      tell_others(*flow, flow_record_kind::open, now);
    }
    return;
  }
  const auto known = records_.find(record.flow, now);
  const auto upstream = known ? directory_.find(known->upstream) : std::nullopt;
  const bool is_waiting = flow->stage == flow_stage::opening;
  const bool differs = upstream && *upstream != flow->upstream &&
                       flow->stage == flow_stage::open &&
                       !flow->was_placed_here();
  if (upstream && (is_waiting || differs)) {
    on_opened_elsewhere(*flow, *upstream, now);
  }
}

// The packets of the flow pass through another forwarder.
void forwarder::on_opened_elsewhere(open_flow& flow, upstream_index upstream,
                                    time_point now) {
  if (flow.stage == flow_stage::opening && was_tried(flow, upstream)) {
    mark_open(flow, upstream, now);
  }
  set_load(flow, flow_load::none);
  flow.stage = flow_stage::open;
  flow.upstream = upstream;
  flow.opened_at = now;
  retag_other_upstreams(flow, now);
}

void forwarder::tell_others(const open_flow& flow, flow_record_kind kind,
                            time_point now) {
  const bool is_open = kind == flow_record_kind::open;
  const flow_record record{
      flow.ends, kind,
      is_open ? directory_.at(flow.upstream).record.key : upstream_key{},
      milliseconds(0)};
  records_.apply(record, now);
  new_records_.push_back(record);
}

std::vector<flow_record> forwarder::take_flow_records() {
  return std::exchange(new_records_, {});
}

}  // namespace rosemarydrum
