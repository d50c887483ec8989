#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class packet_action : std::uint8_t {
  /// Send the packet to the upstream.
  forward,
  /// Send a reset to the caller.
  reset,
  /// Drop the packet.
  discard,
};

enum class verdict_reason : std::uint8_t {
  /// A new flow, or one whose opening packet was not answered, was placed.
  placed,
  /// The packet belongs to a flow that has an upstream.
  established,
  /// The opening packet goes once more to an upstream that does not hold the
  /// flow, so that its late answers name the one that does.
  retagged,
  /// No route has the destination address.
  no_route,
  /// No upstream of the service takes flows.
  no_upstream,
  /// Upstreams of the service accept flows but do not answer this process.
  /// Other forwarders may reach them.
  unreachable,
  /// Upstreams of the service reject requests, and other routes are more
  /// urgent.
  overloaded,
  /// As `no_upstream`, but the fleet's state has not been confirmed lately.
  outdated,
  /// The flow's upstream has stopped answering.
  unresponsive,
  /// The packet's tag matches no known upstream.
  unknown_tag,
  /// Operators have taken the flow's data centre out of service.
  data_centre_out,
  /// The packet is held until the first configuration arrives, or is dropped
  /// because too many are held.
  held,
  /// The packet was queued while the process did not run, or arrived before the
  /// fleet's state was confirmed afterwards.
  stalled,
  /// Callers send no such packet: it is neither a valid opening packet nor one
  /// with the tag of a flow.
  not_a_callers_packet,
  /// The datagram is not a complete packet.
  malformed,
  count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(verdict_reason::count)>
    verdict_reason_names{{"placed", "established", "retagged", "no_route",
                          "no_upstream", "unreachable", "overloaded",
                          "outdated", "unresponsive", "unknown_tag",
                          "data_centre_out", "held", "stalled",
                          "not_a_callers_packet", "malformed"}};

constexpr std::string_view name_of(verdict_reason reason) {
  return verdict_reason_names[static_cast<std::size_t>(reason)];
}

/// What to do with one packet.
struct packet_verdict {
  packet_action action = packet_action::discard;
  verdict_reason reason = verdict_reason::not_a_callers_packet;
  upstream_key upstream{};
  upstream_tag tag{};
  endpoint to;
};

/// A flow to be reset that had no packet just now.
struct flow_reset {
  flow_ends flow;
  /// The sequence number that its caller has acknowledged.
  std::uint32_t acknowledged = 0;
};

/// A packet whose verdict follows later than its receipt: an opening packet
/// that is repeated to another upstream, or a packet that was held.
struct delayed_packet {
  packet_verdict verdict;
  bytes datagram;
};

}  // namespace rosemarydrum
