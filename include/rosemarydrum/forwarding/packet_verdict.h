#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class packet_fate : std::uint8_t {
  /// Send it to the upstream.
  forward,
  /// End the flow towards the caller.
  reset,
  /// Do nothing.
  discard,
};

enum class fate_reason : std::uint8_t {
  /// A new flow was placed, or one that was not answered is placed again.
  placed,
  /// The packet belongs to a flow with an upstream.
  established,
  no_route,
  /// No upstream of the service takes flows.
  no_upstream,
  /// Upstreams of the service take flows, but do not answer this process;
  /// other forwarders may reach them.
  unreachable,
  /// Its tag names no upstream that is known here.
  unknown_tag,
  /// Operators have taken the flow's data centre out.
  data_centre_out,
  /// It waits until the first configuration is known.
  held,
  /// It waited while the process did not run, or came before what is known was
  /// confirmed again.
  stalled,
  /// It is neither a caller's packet of a flow nor opens one.
  not_a_callers_packet,
  /// It is not a whole packet.
  malformed,
  count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(fate_reason::count)>
    fate_reason_names{{"placed", "established", "no_route", "no_upstream",
                       "unreachable", "unknown_tag", "data_centre_out", "held",
                       "stalled", "not_a_callers_packet", "malformed"}};

constexpr std::string_view name_of(fate_reason reason) {
  return fate_reason_names[static_cast<std::size_t>(reason)];
}

/// What to do with one packet.
struct packet_verdict {
  packet_fate fate = packet_fate::discard;
  fate_reason reason = fate_reason::not_a_callers_packet;
  upstream_key upstream{};
  upstream_tag tag{};
  endpoint to;
};

/// A packet that is carried out later than it was received: an opening packet
/// that is sent again to another upstream, or one that waited.
struct delayed_packet {
  packet_verdict verdict;
  bytes datagram;
};

}  // namespace rosemarydrum
