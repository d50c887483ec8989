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
  /// At most one, or two while a hedge runs.
  std::list<request_attempt> attempts;
  /// Upstreams that failed this request.
  std::vector<upstream_id> tried;
  int attempts_sent = 0;
  bool hedged = false;
  /// Non-idempotent only: sent, and not known to have been rejected unrun.
  bool may_have_run = false;
  record_progress record = record_progress::not_needed;
  time_point record_asked_at;
  /// When `tick` has to look at it next.
  time_point next_due;

  /// Whether another upstream may run it. The requests of an established flow
  /// stay at its upstream, which may keep state for the flow.
  bool may_move() const {
    return request.opens_flow && request.pinned == upstream_id{};
  }
};

/// A packet about attempt `a` to its upstream.
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
