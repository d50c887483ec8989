#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"

namespace rosemarydrum {

/// Wire format of flow packets. A received datagram is stored in a buffer after
/// `headroom()` free bytes, so that it can be forwarded in place.
class flow_codec {
 public:
  flow_codec() = default;
  flow_codec(const flow_codec&) = delete;
  flow_codec& operator=(const flow_codec&) = delete;
  virtual ~flow_codec() = default;

  /// Bytes that precede the caller's packet in a datagram to an upstream.
  virtual std::size_t headroom() const = 0;
  /// Returns nullopt if the datagram is not a complete, well-formed packet.
  virtual std::optional<flow_packet> decode(bytes_view datagram) const = 0;
  /// Returns the id of the request that starts in `data`, the first data of a
  /// flow, as a view into `data`; empty if there is none.
  virtual std::string_view request_id(bytes_view data) const = 0;
  /// Addresses the packet after the headroom of `buffer` to an upstream and
  /// writes the flow's tag. The rest of the packet is not changed.
  virtual void address_to(std::span<std::uint8_t> buffer, upstream_key upstream,
                          upstream_tag tag) const = 0;
  /// Returns a packet for the caller of an open flow that resets it.
  /// `acknowledged` is the sequence number that the caller has acknowledged.
  virtual bytes reset_of(const flow_ends& flow,
                         std::uint32_t acknowledged) const = 0;
  /// Returns a packet for the caller of `cause` that resets its flow.
  bytes reset_for(const flow_packet& cause) const {
    // A flow that is not open may be reset with any sequence number.
    return reset_of(cause.flow, cause.opens ? 0 : cause.acknowledged);
  }
};

}  // namespace rosemarydrum
