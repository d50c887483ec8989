#pragma once

#include <cstdint>
#include <list>
#include <vector>

#include "requests/request_attempt.h"
#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

enum class record_progress : std::uint8_t { not_needed, asked, recorded };

/// A request without a final answer.
struct active_request {
  owned_request request;
  time_point deadline;
  /// One, or two while a hedge is open. None if a non-idempotent request may
  /// have run and its attempt has ended.
  std::list<request_attempt> attempts;
  /// Upstreams that the next attempts avoid. Empty for requests of an
  /// established flow.
  std::vector<upstream_id> failed_upstreams;
  int attempts_sent = 0;
  bool hedged = false;
  /// Non-idempotent only: sent to an upstream that has not reported that it
  /// rejected the request without running it.
  bool may_have_run = false;
  record_progress record = record_progress::not_needed;
  time_point record_asked_at;
  /// When `tick` next processes the request.
  time_point next_due;

  /// Whether another upstream may run the request. Requests of an established
  /// flow stay at its upstream, which may keep state for the flow.
  bool may_change_upstream() const {
    return request.opens_flow && request.pinned == upstream_id{};
  }
};

/// Builds a packet of `kind` about attempt `a`, without token and payload.
inline packet control_packet(const active_request& entry,
                             const request_attempt& a, packet_kind kind) {
  packet control;
  control.header.kind = kind;
  control.header.attempt = a.number;
  control.header.service = entry.request.key.service;
  control.header.flow = entry.request.key.flow;
  control.header.request = entry.request.key.request;
  return control;
}

inline event_record event_of(const active_request& entry, event_id id,
                             upstream_id upstream) {
  event_record event;
  event.id = id;
  event.service = entry.request.key.service;
  event.flow = entry.request.key.flow;
  event.request = entry.request.key.request;
  event.upstream = upstream;
  return event;
}

}  // namespace rosemarydrum::detail
