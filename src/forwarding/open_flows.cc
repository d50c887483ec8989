#include "rosemarydrum/forwarding/open_flows.h"

namespace rosemarydrum {

open_flow* open_flows::find(const flow_ends& ends) {
  const auto found = flows_.find(ends);
  return found == flows_.end() ? nullptr : &found->second;
}

open_flow* open_flows::insert(const flow_ends& ends, time_point now) {
  if (flows_.size() >= max_open_flows) {
    return nullptr;
  }
  auto& flow = flows_[ends];
  flow = {};
  flow.ends = ends;
  flow.began = flow.last_packet = now;
  due_.push_back({now + lifetime, ends, now});
  return &flow;
}

void open_flows::erase(const flow_ends& ends) { flows_.erase(ends); }

}  // namespace rosemarydrum
