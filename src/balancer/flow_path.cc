#include "balancer/balancer_state.h"
#include "requests/refusal.h"

/// Packets of established flows, and packets from upstreams.
namespace rosemarydrum {

void balancer::state::on_flow_packet(const caller_packet& p, time_point now,
                                     actions& out) {
  if (p.opened_token && p.opened_token->upstream.id != upstream_id{}) {
    pass_to_upstream(p, p.opened_token->upstream, out);
    return;
  }
  if (const auto bound = flows.find(p.flow, now)) {
    pass_to_upstream(p, *bound, out);
    return;
  }
  auto others = members.serving(settings.data_centre, now);
  std::erase(others, settings.self.id);
  const auto decider =
      leases.decider_of(shard_of(p.flow.service), now).value_or(settings.self);
  resolver.resolve(
      p.flow, decider.id, others,
      [this, p](upstream_run found, time_point resumed_at,
                actions& resumed_out) {
        if (found.id == upstream_id{}) {
          refuse(p, error_kind::flow_ended, certainty::unknown, resumed_at,
                 resumed_out);
          return;
        }
        flows.bind(p.flow, found, false, resumed_at);
        pass_to_upstream(p, found, resumed_out);
      },
      now, out);
}

void balancer::state::pass_to_upstream(const caller_packet& p,
                                       upstream_run upstream, actions& out) {
  const auto& current = config.current();
  const auto* destination = current.find_upstream(p.flow.service, upstream.id);
  if (destination == nullptr || current.is_out(destination->data_centre)) {
    out.push_back(send_to_caller{
        p.envelope, make_refusal(p.datagram.header, error_kind::flow_ended,
                                 certainty::unknown)});
    auto lost = refusal_event(p.datagram.header, error_kind::flow_ended);
    lost.event.id = event_id::flow_lost;
    lost.event.upstream = upstream.id;
    out.push_back(lost);
    return;
  }
  packet datagram = p.datagram;
  datagram.token.clear();
  out.push_back(
      send_to_upstream{p.flow.service, upstream.id, std::move(datagram)});
  if (p.datagram.header.kind == packet_kind::flow_end) {
    flows.erase(p.flow);
  }
}

void balancer::state::on_upstream_datagram(const endpoint& from,
                                           bytes_view datagram, time_point now,
                                           actions& out) {
  const auto known = upstream_addresses_.find(from);
  if (known == upstream_addresses_.end()) {
    out.push_back(packet_refused(error_kind::not_found));
    return;
  }
  const auto& [service, upstream] = known->second;
  const auto decoded = decode_packet(datagram);
  if (!decoded || decoded->header.service != service) {
    out.push_back(packet_refused(error_kind::bad_packet));
    return;
  }
  owner.on_upstream_packet(upstream, *decoded, now, out);
}

}  // namespace rosemarydrum
