#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"

/// The datagrams of callers and upstreams (docs/interface.md).
namespace rosemarydrum {

using bytes = std::vector<std::uint8_t>;
using bytes_view = std::span<const std::uint8_t>;

enum class packet_kind : std::uint8_t {
  /// Caller to service, balancer to upstream: run a request.
  request = 1,
  /// Upstream to balancer, balancer to caller: a part of an answer.
  answer = 2,
  /// Balancer to caller: not answered; `error` says why.
  refusal = 3,
  /// Caller to service, passed to the flow's upstream; takes no slot.
  flow_data = 4,
  /// Caller to service, passed to the flow's upstream: the flow is over.
  flow_end = 5,
  /// Balancer to upstream: end this attempt if it has not ended.
  cancel = 6,
  /// Balancer to upstream: send the part named by `part` again.
  resend = 7,
  /// Upstream to balancer: not run, the upstream is at its limit.
  shed = 8,
  /// Upstream to balancer: not run, the send-by time or the deadline passed.
  rejected_late = 9,
};

/// The fixed part of each datagram, big-endian on the wire, 64 bytes.
struct packet_header {
  packet_kind kind = packet_kind::request;
  bool idempotent = false;
  /// The caller has sent nothing else on this flow.
  bool opens_flow = false;
  /// Requests of higher priority are served first; bounded by the approval.
  std::uint8_t priority = 0;
  /// Distinguishes runs of one request at upstreams; 0 from callers.
  std::uint32_t attempt = 0;
  error_kind error = error_kind::none;
  /// In refusals: what the sender knows of the request. `not_run` only from
  /// a balancer that alone could have run it.
  certainty outcome = certainty::not_applicable;
  /// Index of this part, below `parts`.
  std::uint16_t part = 0;
  /// Parts of the whole answer, 1 to `max_parts`.
  std::uint16_t parts = 1;
  /// Time the caller or balancer still waits, in milliseconds.
  std::uint32_t time_left_ms = 0;
  service_id service{};
  flow_id flow{};
  request_id request{};
  /// Upstreams reject a request that arrives later; 0 from callers.
  unix_ms send_by = 0;
  /// The answering upstream's run; 0 from callers and balancers.
  incarnation upstream_run{};
  /// Requests in progress at the answering upstream, as it reports it.
  std::uint16_t reported_load = 0;

  friend bool operator==(const packet_header&, const packet_header&) = default;
};

/// A datagram: header, optional token, payload.
struct packet {
  packet_header header;
  /// Empty, or `token_size` bytes that the caller echoes.
  bytes token;
  bytes payload;

  friend bool operator==(const packet&, const packet&) = default;
};

inline constexpr std::size_t header_size = 64;
inline constexpr std::size_t max_payload = 1024;
inline constexpr std::size_t max_token = 64;
inline constexpr std::uint16_t max_parts = 256;
/// Longest time that a request may wait and run, in milliseconds.
inline constexpr std::uint32_t max_time_left_ms = 10'000;

/// Encodes `p`. The sizes of token and payload must be in their bounds.
bytes encode(const packet& p);

/// Decodes one datagram; nullopt if any field is out of range.
std::optional<packet> decode_packet(bytes_view datagram);

/// What the fabric wraps around a datagram: addresses that it vouches for.
struct fabric_envelope {
  endpoint caller;
  endpoint service;

  friend bool operator==(const fabric_envelope&,
                         const fabric_envelope&) = default;
};

inline constexpr std::size_t envelope_size = 16;

/// `envelope` followed by `inner`.
bytes encode(const fabric_envelope& envelope, bytes_view inner);

/// An envelope and a view of the datagram in it.
struct unwrapped {
  fabric_envelope envelope;
  bytes_view inner;
};

/// Nullopt if the datagram has no envelope.
std::optional<unwrapped> decode_envelope(bytes_view datagram);

}  // namespace rosemarydrum
