#include "balancer/peer_codec.h"
#include "balancer/peer_values.h"

namespace rosemarydrum::detail {
namespace {

using body_reader = wire::PeerMessage::Body::Reader;

template <typename Entry, typename List>
bool get_numbers(List from, std::vector<Entry>& to) {
  if (from.size() > max_list_size) {
    return false;
  }
  to.reserve(from.size());
  for (const auto number : from) {
    to.push_back(Entry(number));
  }
  return true;
}

template <typename Entry, typename List>
bool get_list(List from, std::vector<Entry>& to) {
  if (from.size() > max_list_size) {
    return false;
  }
  to.resize(from.size());
  for (unsigned i = 0; i < from.size(); ++i) {
    read(from[i], to[i]);
  }
  return true;
}

bool get(wire::Heartbeat::Reader in, heartbeat& m) {
  m.sequence = in.getSequence();
  m.echo = in.getEcho();
  m.data_centre = data_centre_id(in.getDataCentre());
  m.configuration = revision(in.getConfiguration());
  m.leaving = in.getLeaving();
  return get_numbers(in.getWanted(), m.wanted) &&
         get_numbers(in.getGranted(), m.granted) &&
         get_numbers(in.getHeld(), m.held) &&
         get_list(in.getLimits(), m.limits);
}

bool get(wire::SlotAsk::Reader in, slot_ask& m) {
  m.ask = in.getAsk();
  m.service = service_id(in.getService());
  m.flow = flow_id(in.getFlow());
  m.caller = caller_id(in.getCaller());
  m.priority = in.getPriority();
  m.idempotent = in.getIdempotent();
  m.opens_flow = in.getOpensFlow();
  m.request = request_id(in.getRequest());
  m.pinned = upstream_id(in.getPinned());
  m.time_left_ms = in.getTimeLeftMs();
  m.data_centre = data_centre_id(in.getDataCentre());
  m.may_spill = in.getMaySpill();
  return get_numbers(in.getAvoid(), m.avoid);
}

bool get(wire::SlotAnswer::Reader in, slot_answer& m) {
  m.ask = in.getAsk();
  m.error = error_kind(in.getError());
  m.grant = grant_id(in.getGrant());
  m.service = service_id(in.getService());
  m.upstream = upstream_id(in.getUpstream());
  m.upstream_run = incarnation(in.getUpstreamRun());
  m.run_time_ms = in.getRunTimeMs();
  m.may_wait = in.getMayWait();
  return true;
}

bool get(wire::SlotRelease::Reader in, slot_release& m) {
  m.grant = grant_id(in.getGrant());
  m.service = service_id(in.getService());
  m.upstream = upstream_id(in.getUpstream());
  m.upstream_run = incarnation(in.getUpstreamRun());
  m.outcome = attempt_outcome(in.getOutcome());
  m.latency_us = in.getLatencyUs();
  m.reported_load = in.getReportedLoad();
  return true;
}

bool get(wire::GrantsReport::Reader in, grants_report& m) {
  m.shard = shard_id(in.getShard());
  return get_list(in.getGrants(), m.grants);
}

bool get(wire::LeaseHandover::Reader in, lease_handover& m) {
  m.shard = shard_id(in.getShard());
  return get_list(in.getGrants(), m.grants) &&
         get_list(in.getLimits(), m.limits);
}

bool get(wire::RecordAsk::Reader in, record_ask& m) {
  read(in.getRequest(), m.request);
  m.token_expires = in.getTokenExpires();
  return true;
}

bool get(wire::RecordAnswer::Reader in, record_answer& m) {
  read(in.getRequest(), m.request);
  m.recorded = in.getRecorded();
  return true;
}

bool get(wire::CloseAsk::Reader in, close_ask& m) {
  read(in.getRequest(), m.request);
  read(in.getOwner(), m.owner);
  read(in.getWitness(), m.witness);
  m.token_expires = in.getTokenExpires();
  return true;
}

bool get(wire::CloseAnswer::Reader in, close_answer& m) {
  read(in.getRequest(), m.request);
  m.closed = in.getClosed();
  return true;
}

bool get(wire::RequestForward::Reader in, request_forward& m) {
  m.hops = in.getHops();
  m.envelope = {{in.getCallerAddress(), in.getCallerPort()},
                {in.getServiceAddress(), in.getServicePort()}};
  const auto datagram = in.getDatagram();
  m.datagram.assign(datagram.begin(), datagram.end());
  return true;
}

bool get(wire::ForwardAck::Reader in, forward_ack& m) {
  read(in.getRequest(), m.request);
  return true;
}

bool get(wire::FlowAsk::Reader in, flow_ask& m) {
  read(in.getFlow(), m.flow);
  return true;
}

bool get(wire::FlowAnswer::Reader in, flow_answer& m) {
  read(in.getFlow(), m.flow);
  m.upstream = {upstream_id(in.getUpstream()), incarnation(in.getRun())};
  return true;
}

bool get(wire::FlowCopy::Reader in, flow_copy& m) {
  m.service = service_id(in.getService());
  return get_numbers(in.getFingerprints(), m.fingerprints) &&
         get_numbers(in.getUpstreams(), m.upstreams);
}

bool get(wire::ConfigPush::Reader in, config_push& m) {
  return get_list(in.getDocuments(), m.documents);
}

bool get(wire::ConfigPull::Reader in, config_pull& m) {
  m.after = revision(in.getAfter());
  return true;
}

bool get(wire::EventsPull::Reader in, events_pull& m) {
  m.first = in.getFirst();
  return true;
}

bool get(wire::EventsPage::Reader in, events_page& m) {
  return get_list(in.getEvents(), m.events);
}

template <typename Message, auto Getter>
bool get_body(body_reader from, peer_body& to) {
  return get((from.*Getter)(), to.emplace<Message>());
}

using getter = bool (*)(body_reader, peer_body&);
using body = body_reader;

// Indexed by the union's discriminant, in the schema's order; entry 0 is
// `none`.
constexpr getter getters[] = {
    nullptr,
    get_body<heartbeat, &body::getHeartbeat>,
    get_body<slot_ask, &body::getSlotAsk>,
    get_body<slot_answer, &body::getSlotAnswer>,
    get_body<slot_release, &body::getSlotRelease>,
    get_body<grants_report, &body::getGrantsReport>,
    get_body<lease_handover, &body::getLeaseHandover>,
    get_body<record_ask, &body::getRecordAsk>,
    get_body<record_answer, &body::getRecordAnswer>,
    get_body<close_ask, &body::getCloseAsk>,
    get_body<close_answer, &body::getCloseAnswer>,
    get_body<request_forward, &body::getRequestForward>,
    get_body<forward_ack, &body::getForwardAck>,
    get_body<flow_ask, &body::getFlowAsk>,
    get_body<flow_answer, &body::getFlowAnswer>,
    get_body<flow_copy, &body::getFlowCopy>,
    get_body<config_push, &body::getConfigPush>,
    get_body<config_pull, &body::getConfigPull>,
    get_body<events_pull, &body::getEventsPull>,
    get_body<events_page, &body::getEventsPage>,
};
static_assert(std::size(getters) == std::variant_size_v<peer_body> + 1);

}  // namespace

bool read(body_reader from, peer_body& to) {
  const auto index = static_cast<std::size_t>(from.which());
  return index < std::size(getters) && getters[index] != nullptr &&
         getters[index](from, to);
}

}  // namespace rosemarydrum::detail
