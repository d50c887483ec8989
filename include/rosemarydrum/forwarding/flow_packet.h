#pragma once

#include <cstdint>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The two ends of a flow as its caller sees them.
struct flow_ends {
  endpoint caller;
  endpoint service;

  friend auto operator<=>(const flow_ends&, const flow_ends&) = default;
};

/// Maximum lifetime of a flow.
inline constexpr seconds default_flow_lifetime{60};

/// Identifies the flow's upstream in all packets after the first; 0 means none.
enum class upstream_tag : std::uint32_t {};

/// The fields of a caller's packet that the forwarder uses.
struct flow_packet {
  flow_ends flow;
  bool opens = false;
  bool acknowledges = false;
  bool finishes = false;
  bool resets = false;
  upstream_tag tag{};
  std::uint32_t sequence = 0;
  /// In an opening packet, the number of earlier transmissions of it; otherwise
  /// the sequence number that the caller has acknowledged.
  std::uint32_t acknowledged = 0;
  bytes_view data;
  /// The complete packet as received.
  bytes_view datagram;
};

}  // namespace rosemarydrum

template <>
struct std::hash<rosemarydrum::flow_ends> {
  std::size_t operator()(const rosemarydrum::flow_ends& flow) const {
    using rosemarydrum::detail::mix;
    const auto packed = [](const rosemarydrum::endpoint& end) {
      return (std::uint64_t{end.address} << 16) | end.port;
    };
    return mix(mix(0, packed(flow.caller)), packed(flow.service));
  }
};
