#include "balancer/peer_values.h"

namespace rosemarydrum::detail {

void write(const balancer_run& from, wire::BalancerRun::Builder to) {
  to.setId(value_of(from.id));
  to.setRun(value_of(from.run));
}

void write(const flow_key& from, wire::FlowKey::Builder to) {
  to.setCaller(value_of(from.caller));
  to.setService(value_of(from.service));
  to.setFlow(value_of(from.flow));
}

void write(const request_key& from, wire::RequestKey::Builder to) {
  to.setCaller(value_of(from.caller));
  to.setService(value_of(from.service));
  to.setFlow(value_of(from.flow));
  to.setRequest(value_of(from.request));
}

void write(const upstream_limit& from, wire::UpstreamLimit::Builder to) {
  to.setService(value_of(from.service));
  to.setUpstream(value_of(from.upstream.id));
  to.setRun(value_of(from.upstream.run));
  to.setLimit(from.limit);
}

void write(const running_grant& from, wire::RunningGrant::Builder to) {
  to.setGrant(value_of(from.grant));
  to.setService(value_of(from.service));
  to.setUpstream(value_of(from.upstream));
  to.setRunTimeLeftMs(from.run_time_left_ms);
}

void write(const document& from, wire::Document::Builder to) {
  to.setKey(capnp::Text::Reader(from.key.c_str(), from.key.size()));
  to.setText(capnp::Text::Reader(from.text.c_str(), from.text.size()));
  to.setChanged(from.changed.number);
}

void write(const event_record& from, wire::EventRecord::Builder to) {
  to.setId(static_cast<std::uint16_t>(from.id));
  to.setProcess(value_of(from.process.id));
  to.setRun(value_of(from.process.run));
  to.setSequence(from.sequence);
  to.setLogicalTime(from.logical_time);
  to.setWallTime(from.wall_time);
  to.setService(value_of(from.service));
  to.setFlow(value_of(from.flow));
  to.setRequest(value_of(from.request));
  to.setUpstream(value_of(from.upstream));
  to.setDataCentre(value_of(from.data_centre));
  to.setConfiguration(from.configuration.number);
  to.setDetail(from.detail);
  to.setSuppressed(from.suppressed);
}

void read(wire::BalancerRun::Reader from, balancer_run& to) {
  to = {balancer_id(from.getId()), incarnation(from.getRun())};
}

void read(wire::FlowKey::Reader from, flow_key& to) {
  to = {caller_id(from.getCaller()), service_id(from.getService()),
        flow_id(from.getFlow())};
}

void read(wire::RequestKey::Reader from, request_key& to) {
  to = {caller_id(from.getCaller()), service_id(from.getService()),
        flow_id(from.getFlow()), request_id(from.getRequest())};
}

void read(wire::UpstreamLimit::Reader from, upstream_limit& to) {
  to.service = service_id(from.getService());
  to.upstream = {upstream_id(from.getUpstream()), incarnation(from.getRun())};
  to.limit = from.getLimit();
}

void read(wire::RunningGrant::Reader from, running_grant& to) {
  to.grant = grant_id(from.getGrant());
  to.service = service_id(from.getService());
  to.upstream = upstream_id(from.getUpstream());
  to.run_time_left_ms = from.getRunTimeLeftMs();
}

void read(wire::Document::Reader from, document& to) {
  const auto key = from.getKey();
  const auto text = from.getText();
  to.key.assign(key.begin(), key.size());
  to.text.assign(text.begin(), text.size());
  to.changed = revision(from.getChanged());
}

void read(wire::EventRecord::Reader from, event_record& to) {
  to.id = event_id(from.getId());
  to.process = {balancer_id(from.getProcess()), incarnation(from.getRun())};
  to.sequence = from.getSequence();
  to.logical_time = from.getLogicalTime();
  to.wall_time = from.getWallTime();
  to.service = service_id(from.getService());
  to.flow = flow_id(from.getFlow());
  to.request = request_id(from.getRequest());
  to.upstream = upstream_id(from.getUpstream());
  to.data_centre = data_centre_id(from.getDataCentre());
  to.configuration = revision(from.getConfiguration());
  to.detail = from.getDetail();
  to.suppressed = from.getSuppressed();
}

}  // namespace rosemarydrum::detail
