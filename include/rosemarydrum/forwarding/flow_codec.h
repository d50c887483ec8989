#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"

namespace rosemarydrum {

/// How flow packets look on the wire. A received datagram stands in a buffer
/// with `headroom()` free bytes before it, so that it is sent on in place.
class flow_codec {
 public:
  flow_codec() = default;
  flow_codec(const flow_codec&) = delete;
  flow_codec& operator=(const flow_codec&) = delete;
  virtual ~flow_codec() = default;

  /// Bytes that an upstream's datagram has before the caller's packet.
  virtual std::size_t headroom() const = 0;
  /// Nullopt if the datagram is not a whole, well-formed packet.
  virtual std::optional<flow_packet> decode(bytes_view datagram) const = 0;
  /// The id of the request that the first data of a flow begins; a view into
  /// it, empty if there is none.
  virtual std::string_view request_id(bytes_view data) const = 0;
  /// Addresses the packet after the headroom of `buffer` to an upstream and
  /// puts the flow's tag on it; everything else stays as its caller wrote it.
  virtual void address_to(std::span<std::uint8_t> buffer, upstream_key upstream,
                          upstream_tag tag) const = 0;
  /// A packet to the caller of `cause` that ends its flow.
  virtual bytes reset_for(const flow_packet& cause) const = 0;
};

}  // namespace rosemarydrum
