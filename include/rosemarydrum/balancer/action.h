#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

/// What the parts ask their host to do.
namespace rosemarydrum {

/// Sends `body` to balancer `to`; unreliable, like a datagram.
struct send_to_peer {
  balancer_id to{};
  /// The receiver's run that the message is for; 0: any.
  incarnation to_run{};
  peer_body body;
};

/// Sends to an upstream. The host looks up its address in the configuration
/// at that moment and drops the datagram if operators have taken it out.
struct send_to_upstream {
  service_id service{};
  upstream_id upstream{};
  packet datagram;
};

/// Asks the decider of the service's shard for a slot; the host finds it.
struct ask_slot {
  slot_ask ask;
  /// Other data centre to ask; the own one if empty.
  std::optional<data_centre_id> spill_to;
};

/// Gives a slot back to the decider that granted it.
struct release_slot {
  slot_release release;
  balancer_run decider;
};

/// Sends through the fabric; `envelope` is that of the caller's packet.
struct send_to_caller {
  fabric_envelope envelope;
  packet datagram;
};

/// Remembers the upstream of a flow whose caller does not echo tokens.
struct bind_flow {
  flow_key flow;
  upstream_run upstream;
};

/// Puts an event on the time line; the host fills in process, sequence, times.
struct record_event {
  event_record event;
};

using action =
    std::variant<send_to_peer, send_to_upstream, ask_slot, release_slot,
                 send_to_caller, bind_flow, record_event>;
using actions = std::vector<action>;

}  // namespace rosemarydrum
