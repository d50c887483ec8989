#pragma once

#include "peer.capnp.h"
#include "rosemarydrum/balancer/peer_message.h"

/// Cap'n Proto conversion of values that several peer messages contain.
namespace rosemarydrum::detail {

void write(const balancer_run& from, wire::BalancerRun::Builder to);
void write(const flow_key& from, wire::FlowKey::Builder to);
void write(const request_key& from, wire::RequestKey::Builder to);
void write(const upstream_limit& from, wire::UpstreamLimit::Builder to);
void write(const running_grant& from, wire::RunningGrant::Builder to);
void write(const document& from, wire::Document::Builder to);
void write(const event_record& from, wire::EventRecord::Builder to);

template <typename Id, typename Builder>
void write_ids(const std::vector<Id>& from, Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to.set(i, value_of(from[i]));
  }
}

template <typename Number, typename Builder>
void write_numbers(const std::vector<Number>& from, Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to.set(i, from[i]);
  }
}

template <typename Entry, typename Builder>
void write_list(const std::vector<Entry>& from, Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    write(from[i], to[i]);
  }
}

void read(wire::BalancerRun::Reader from, balancer_run& to);
void read(wire::FlowKey::Reader from, flow_key& to);
void read(wire::RequestKey::Reader from, request_key& to);
void read(wire::UpstreamLimit::Reader from, upstream_limit& to);
void read(wire::RunningGrant::Reader from, running_grant& to);
void read(wire::Document::Reader from, document& to);
void read(wire::EventRecord::Reader from, event_record& to);

}  // namespace rosemarydrum::detail
