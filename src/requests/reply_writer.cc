#include "requests/reply_writer.h"

#include <utility>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::detail {
namespace {

packet_header reply_header(const owned_request& request, packet_kind kind) {
  packet_header header;
  header.kind = kind;
  header.idempotent = request.idempotent;
  header.priority = request.datagram.header.priority;
  header.service = request.key.service;
  header.flow = request.key.flow;
  header.request = request.key.request;
  return header;
}

// Whether the caller can send the request again only with a new token.
bool needs_fresh_token(error_kind error) {
  return error == error_kind::token_required ||
         error == error_kind::token_invalid ||
         error == error_kind::token_expired ||
         error == error_kind::owner_lost || error == error_kind::shutting_down;
}

}  // namespace

bytes reply_writer::fresh_token(const owned_request& request,
                                upstream_run upstream, time_point now) const {
  return tokens_.seal(
      {{request.key.caller, request.key.service, request.key.flow},
       upstream,
       successor_ ? *successor_ : self_,
       successor_ ? successor_witness_ : request.next_witness,
       runtime_clock::to_unix(now + token_lifetime)});
}

void reply_writer::send(const owned_request& request,
                        const finished_request& result, time_point now,
                        actions& out) const {
  if (result.error != error_kind::none) {
    refuse(request, result.error, result.outcome, now, out);
    return;
  }
  packet part;
  part.header = reply_header(request, packet_kind::answer);
  part.header.attempt = result.attempt;
  part.header.parts = static_cast<std::uint16_t>(result.parts.size());
  part.token = fresh_token(request, result.flow_upstream, now);
  for (const bytes& payload : result.parts) {
    part.payload = payload;
    out.emplace_back(send_to_caller{request.envelope, part});
    ++part.header.part;
  }
}

void reply_writer::refuse(const owned_request& request, error_kind error,
                          certainty outcome, time_point now,
                          actions& out) const {
  packet refusal;
  refusal.header = reply_header(request, packet_kind::refusal);
  refusal.header.error = error;
  refusal.header.outcome = outcome;
  // The token of a request that has not run may name a stopped balancer, so
  // that the caller gets a new one to send the request again.
  const bool proven_not_run =
      !request.idempotent && outcome == certainty::not_run;
  if (needs_fresh_token(error) || proven_not_run) {
    refusal.token = fresh_token(request, {request.pinned, {}}, now);
  }
  out.emplace_back(send_to_caller{request.envelope, std::move(refusal)});
  event_record event;
  event.id = outcome == certainty::unknown && !request.idempotent
                 ? event_id::request_unknown
                 : event_id::request_refused;
  event.service = request.key.service;
  event.flow = request.key.flow;
  event.request = request.key.request;
  event.detail = static_cast<std::uint64_t>(error);
  out.emplace_back(record_event{event});
}

}  // namespace rosemarydrum::detail
