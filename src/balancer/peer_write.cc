#include "balancer/peer_codec.h"
#include "balancer/peer_values.h"

namespace rosemarydrum::detail {
namespace {

using body_builder = wire::PeerMessage::Body::Builder;

void put(const heartbeat& m, body_builder to) {
  auto out = to.initHeartbeat();
  out.setSequence(m.sequence);
  out.setEcho(m.echo);
  out.setDataCentre(value_of(m.data_centre));
  out.setConfiguration(m.configuration.number);
  out.setLeaving(m.leaving);
  write_ids(m.wanted, out.initWanted(m.wanted.size()));
  write_ids(m.granted, out.initGranted(m.granted.size()));
  write_ids(m.held, out.initHeld(m.held.size()));
  write_list(m.limits, out.initLimits(m.limits.size()));
}

void put(const slot_ask& m, body_builder to) {
  auto out = to.initSlotAsk();
  out.setAsk(m.ask);
  out.setService(value_of(m.service));
  out.setFlow(value_of(m.flow));
  out.setCaller(value_of(m.caller));
  out.setPriority(m.priority);
  out.setIdempotent(m.idempotent);
  out.setOpensFlow(m.opens_flow);
  out.setRequest(value_of(m.request));
  out.setPinned(value_of(m.pinned));
  write_ids(m.avoid, out.initAvoid(m.avoid.size()));
  out.setTimeLeftMs(m.time_left_ms);
  out.setDataCentre(value_of(m.data_centre));
  out.setMaySpill(m.may_spill);
}

void put(const slot_answer& m, body_builder to) {
  auto out = to.initSlotAnswer();
  out.setAsk(m.ask);
  out.setError(static_cast<std::uint8_t>(m.error));
  out.setGrant(value_of(m.grant));
  out.setService(value_of(m.service));
  out.setUpstream(value_of(m.upstream));
  out.setUpstreamRun(value_of(m.upstream_run));
  out.setRunTimeMs(m.run_time_ms);
  out.setMayWait(m.may_wait);
}

void put(const slot_release& m, body_builder to) {
  auto out = to.initSlotRelease();
  out.setGrant(value_of(m.grant));
  out.setService(value_of(m.service));
  out.setUpstream(value_of(m.upstream));
  out.setUpstreamRun(value_of(m.upstream_run));
  out.setOutcome(static_cast<std::uint8_t>(m.outcome));
  out.setLatencyUs(m.latency_us);
  out.setReportedLoad(m.reported_load);
}

void put(const grants_report& m, body_builder to) {
  auto out = to.initGrantsReport();
  out.setShard(value_of(m.shard));
  write_list(m.grants, out.initGrants(m.grants.size()));
}

void put(const lease_handover& m, body_builder to) {
  auto out = to.initLeaseHandover();
  out.setShard(value_of(m.shard));
  write_list(m.grants, out.initGrants(m.grants.size()));
  write_list(m.limits, out.initLimits(m.limits.size()));
}

void put(const record_ask& m, body_builder to) {
  auto out = to.initRecordAsk();
  write(m.request, out.initRequest());
  out.setTokenExpires(m.token_expires);
}

void put(const record_answer& m, body_builder to) {
  auto out = to.initRecordAnswer();
  write(m.request, out.initRequest());
  out.setRecorded(m.recorded);
}

void put(const close_ask& m, body_builder to) {
  auto out = to.initCloseAsk();
  write(m.request, out.initRequest());
  write(m.owner, out.initOwner());
  write(m.witness, out.initWitness());
  out.setTokenExpires(m.token_expires);
}

void put(const close_answer& m, body_builder to) {
  auto out = to.initCloseAnswer();
  write(m.request, out.initRequest());
  out.setClosed(m.closed);
}

void put(const request_forward& m, body_builder to) {
  auto out = to.initRequestForward();
  out.setHops(m.hops);
  out.setCallerAddress(m.envelope.caller.address);
  out.setCallerPort(m.envelope.caller.port);
  out.setServiceAddress(m.envelope.service.address);
  out.setServicePort(m.envelope.service.port);
  out.setDatagram(kj::arrayPtr(m.datagram.data(), m.datagram.size()));
}

void put(const forward_ack& m, body_builder to) {
  write(m.request, to.initForwardAck().initRequest());
}

void put(const flow_ask& m, body_builder to) {
  write(m.flow, to.initFlowAsk().initFlow());
}

void put(const flow_answer& m, body_builder to) {
  auto out = to.initFlowAnswer();
  write(m.flow, out.initFlow());
  out.setUpstream(value_of(m.upstream.id));
  out.setRun(value_of(m.upstream.run));
}

void put(const flow_copy& m, body_builder to) {
  auto out = to.initFlowCopy();
  out.setService(value_of(m.service));
  write_numbers(m.fingerprints, out.initFingerprints(m.fingerprints.size()));
  write_numbers(m.upstreams, out.initUpstreams(m.upstreams.size()));
}

void put(const config_push& m, body_builder to) {
  write_list(m.documents,
             to.initConfigPush().initDocuments(m.documents.size()));
}

void put(const config_pull& m, body_builder to) {
  to.initConfigPull().setAfter(m.after.number);
}

void put(const events_pull& m, body_builder to) {
  to.initEventsPull().setFirst(m.first);
}

void put(const events_page& m, body_builder to) {
  write_list(m.events, to.initEventsPage().initEvents(m.events.size()));
}

}  // namespace

void write(const peer_body& body, body_builder to) {
  std::visit([&to](const auto& message) { put(message, to); }, body);
}

}  // namespace rosemarydrum::detail
