#pragma once

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum {

/// Builds the refusal of `request`. Its outcome is `known_outcome` if the
/// table's row of `error` allows `not_run`, and `unknown` otherwise.
inline packet make_refusal(const packet_header& request, error_kind error,
                           certainty known_outcome, bytes token = {}) {
  packet refusal;
  refusal.header.kind = packet_kind::refusal;
  refusal.header.error = error;
  refusal.header.outcome = description_of(error).outcome == certainty::not_run
                               ? known_outcome
                               : certainty::unknown;
  refusal.header.service = request.service;
  refusal.header.flow = request.flow;
  refusal.header.request = request.request;
  refusal.token = std::move(token);
  return refusal;
}

/// The event that records a refusal.
inline record_event refusal_event(const packet_header& request,
                                  error_kind error) {
  event_record event;
  event.id = event_id::request_refused;
  event.service = request.service;
  event.flow = request.flow;
  event.request = request.request;
  event.detail = static_cast<std::uint64_t>(error);
  return {event};
}

/// The event that records a packet that is malformed or of unknown origin.
inline record_event packet_refused(error_kind error) {
  event_record event;
  event.id = event_id::packet_refused;
  event.detail = static_cast<std::uint64_t>(error);
  return {event};
}

}  // namespace rosemarydrum
