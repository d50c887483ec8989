#include <algorithm>

#include "balancer/balancer_state.h"
#include "requests/refusal.h"
#include "rosemarydrum/runtime_clock.h"

/// Caller packets from the fabric: admission, tokens, requests.
namespace rosemarydrum {
namespace {

bool is_from_caller(packet_kind kind) {
  return kind == packet_kind::request || kind == packet_kind::flow_data ||
         kind == packet_kind::flow_end;
}

}  // namespace

certainty balancer::state::known_outcome(const caller_packet& p) const {
  const auto& header = p.datagram.header;
  // No balancer sends a non-idempotent request that has no token.
  return !header.idempotent && p.datagram.token.empty() ? certainty::not_run
                                                        : certainty::unknown;
}

void balancer::state::refuse(const caller_packet& p, error_kind error,
                             certainty known, time_point now, actions& out) {
  bytes fresh;
  if (error == error_kind::token_required ||
      error == error_kind::token_expired ||
      error == error_kind::token_invalid ||
      error == error_kind::shutting_down) {
    fresh = fresh_token(
        p.flow, p.opened_token ? p.opened_token->upstream : upstream_run{},
        now);
  }
  out.push_back(send_to_caller{
      p.envelope,
      make_refusal(p.datagram.header, error, known, std::move(fresh))});
  out.push_back(refusal_event(p.datagram.header, error));
}

void balancer::state::on_caller_datagram(const fabric_envelope& envelope,
                                         bytes_view datagram, bool forwarded,
                                         time_point now, actions& out) {
  caller_packet p{envelope, {}, nullptr, nullptr, {}, std::nullopt, forwarded};
  auto decoded = decode_packet(datagram);
  if (!decoded || !is_from_caller(decoded->header.kind)) {
    refuse(p, error_kind::bad_packet, certainty::unknown, now, out);
    out.push_back(packet_refused(error_kind::bad_packet));
    return;
  }
  p.datagram = std::move(*decoded);
  auto& header = p.datagram.header;
  const auto cell = members.serving(settings.data_centre, now).size();
  // The entry balancer has already counted a forwarded request against the
  // caller's approved load, so it is admitted as `flow_data`, which is not
  // counted.
  const auto counted_kind = forwarded ? packet_kind::flow_data : header.kind;
  const auto [error, target, matched_approval] = admission_control.admit(
      config.current(), envelope, counted_kind, cell, now);
  p.target = target;
  p.matched_approval = matched_approval;
  const bool wrong_service = target != nullptr &&
                             header.service != service_id{} &&
                             header.service != target->id;
  if (target == nullptr || matched_approval == nullptr || wrong_service) {
    if (!wrong_service && config.may_lack_documents(now)) {
      // The service or the approval may be newer than the known configuration.
      // The packet is dropped, and the caller sends it again.
      return;
    }
    const auto kind = wrong_service ? error_kind::bad_packet : error;
    refuse(p, kind, known_outcome(p), now, out);
    return;
  }
  header.service = target->id;
  header.attempt = 0;
  header.send_by = 0;
  header.priority = std::min(header.priority, matched_approval->max_priority);
  p.flow = {matched_approval->caller, target->id, header.flow};
  if (!p.datagram.token.empty()) {
    p.opened_token = tokens.open(p.datagram.token, p.flow);
  }
  // Only the owner that a token names can claim that the request has not run,
  // so the owner handles the admission error later.
  const bool owned_here = p.opened_token &&
                          p.opened_token->owner == settings.self &&
                          header.kind == packet_kind::request;
  if (error != error_kind::none && !owned_here) {
    refuse(p, error, known_outcome(p), now, out);
    return;
  }
  p.admission_error = error;
  if (!p.datagram.token.empty() && !p.opened_token) {
    refuse(p, error_kind::token_invalid, certainty::unknown, now, out);
    return;
  }
  if (header.kind == packet_kind::request) {
    on_request(p, now, out);
  } else {
    on_flow_packet(p, now, out);
  }
}

owned_request balancer::state::make_owned_request(const caller_packet& p,
                                                  bool idempotent,
                                                  time_point now) {
  const auto& header = p.datagram.header;
  owned_request r;
  r.key = {p.flow.caller, p.flow.service, p.flow.flow, header.request};
  r.envelope = p.envelope;
  r.datagram = p.datagram;
  r.datagram.header.idempotent = idempotent;
  r.idempotent = idempotent;
  r.opens_flow = header.opens_flow;
  if (p.opened_token) {
    r.owner_token = *p.opened_token;
    r.pinned = p.opened_token->upstream.id;
    const auto& token_witness = p.opened_token->witness;
    r.witness_lost =
        token_witness.run != incarnation{} && !is_run_live(token_witness, now);
  }
  if (r.pinned == upstream_id{} && !r.opens_flow) {
    if (const auto bound = flows.find(p.flow, now)) {
      r.pinned = bound->id;
    }
  }
  r.next_witness = witness_for(p.flow, now);
  r.spill_to = spill_targets();
  return r;
}

void balancer::state::on_request(const caller_packet& p, time_point now,
                                 actions& out) {
  const auto& header = p.datagram.header;
  // An approval that says "not idempotent" overrides the packet's flag.
  const bool idempotent = header.idempotent && p.matched_approval->idempotent;
  if (!idempotent && p.datagram.token.empty()) {
    refuse(p, error_kind::token_required, known_outcome(p), now, out);
    return;
  }
  const auto request = make_owned_request(p, idempotent, now);
  if (!idempotent) {
    on_non_idempotent_request(p, request, now, out);
    return;
  }
  const auto error = reason_to_refuse(p, now);
  if (error == error_kind::none || owner.knows(request.key)) {
    owner.on_request(request, now, out);
  } else {
    refuse(p, error, certainty::unknown, now, out);
  }
}

bool balancer::state::is_run_live(const balancer_run& other,
                                  time_point now) const {
  return members.is_live(other.id, now) &&
         members.run_of(other.id) == other.run;
}

error_kind balancer::state::reason_to_refuse(const caller_packet& p,
                                             time_point now) const {
  if (p.admission_error != error_kind::none) {
    return p.admission_error;
  }
  if (config.current().is_out(settings.data_centre)) {
    return error_kind::data_centre_out;
  }
  return is_serving_now(now) ? error_kind::none : error_kind::shutting_down;
}

void balancer::state::on_non_idempotent_request(const caller_packet& p,
                                                const owned_request& r,
                                                time_point now, actions& out) {
  const auto& owner_token = r.owner_token;
  if (owner_token.owner == settings.self) {
    if (p.forwarded) {
      // The acknowledgement ends the entry balancer's wait; the answer goes to
      // the caller directly.
      accepted_forward_ = r.key;
    }
    const auto error = reason_to_refuse(p, now);
    const bool expired = owner_token.expires <= runtime_clock::to_unix(now);
    if (owner.knows(r.key) || (!expired && error == error_kind::none)) {
      owner.on_request(r, now, out);
    } else if (expired) {
      refuse(p, error_kind::token_expired, certainty::unknown, now, out);
    } else {
      owner.refuse(r, error, now, out);
    }
    return;
  }
  if (owner_token.expires <= runtime_clock::to_unix(now)) {
    refuse(p, error_kind::token_expired, certainty::unknown, now, out);
    return;
  }
  if (p.forwarded) {
    // Dropped, because a request is forwarded at most once: the token names an
    // earlier run of this balancer.
    return;
  }
  forwarder.start({r.key, p.envelope, p.datagram, owner_token,
                   fresh_token(p.flow, owner_token.upstream, now)},
                  is_run_live(owner_token.owner, now), now, out);
}

}  // namespace rosemarydrum
