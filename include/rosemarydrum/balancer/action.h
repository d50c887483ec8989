#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

/// Actions that a balancer's components return for their host to carry out.
namespace rosemarydrum {

/// Sends `body` to balancer `to`; delivery is not guaranteed.
struct send_to_peer {
  balancer_id to{};
  /// A receiver of another incarnation drops the message; 0: any.
  incarnation to_run{};
  peer_body body;
};

/// Sends to an upstream. The host looks up the upstream's address when it
/// carries out the action, and drops the datagram if the upstream is no longer
/// configured or its data centre is out of service.
struct send_to_upstream {
  service_id service{};
  upstream_id upstream{};
  packet datagram;
};

/// Asks the decider of the service's shard for a slot; the host looks up the
/// decider.
struct ask_slot {
  slot_ask ask;
  /// Another data centre to ask instead of the own one.
  std::optional<data_centre_id> spill_to;
};

/// Returns a slot to `decider`, which granted it, or to its successor.
struct release_slot {
  slot_release release;
  balancer_run decider;
};

/// Sends to a caller through the fabric. `envelope` is the one of the caller's
/// packet.
struct send_to_caller {
  fabric_envelope envelope;
  packet datagram;
};

/// Binds a flow to an upstream, for callers that do not echo tokens.
struct bind_flow {
  flow_key flow;
  upstream_run upstream;
};

/// Adds an event to the event log; the host sets its process, sequence and
/// times.
struct record_event {
  event_record event;
};

using action =
    std::variant<send_to_peer, send_to_upstream, ask_slot, release_slot,
                 send_to_caller, bind_flow, record_event>;
using actions = std::vector<action>;

}  // namespace rosemarydrum
