#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"

/// Datagrams between callers, balancers and upstreams (docs/interface.md).
namespace rosemarydrum {

using bytes = std::vector<std::uint8_t>;
using bytes_view = std::span<const std::uint8_t>;

enum class packet_kind : std::uint8_t {
  /// Caller to service, balancer to upstream: run a request.
  request = 1,
  /// Upstream to balancer, balancer to caller: one part of an answer.
  answer = 2,
  /// Balancer to caller: the request is refused for the reason in `error`.
  refusal = 3,
  /// Caller to service, passed on to the flow's upstream; needs no slot.
  flow_data = 4,
  /// Caller to service, passed on to the flow's upstream: the flow has ended.
  flow_end = 5,
  /// Balancer to upstream: abort this attempt if it is still running.
  cancel = 6,
  /// Balancer to upstream: send the answer's part with index `part` again.
  resend = 7,
  /// Upstream to balancer: not run, because the upstream is at its limit.
  shed = 8,
  /// Upstream to balancer: not run, because the send-by time or the deadline
  /// has passed.
  rejected_late = 9,
};

/// The header of each datagram: 64 bytes, big-endian on the wire.
struct packet_header {
  packet_kind kind = packet_kind::request;
  bool idempotent = false;
  /// The first packet that the caller sends on this flow.
  bool opens_flow = false;
  /// Requests of higher priority are served first; capped by the approval.
  std::uint8_t priority = 0;
  /// Distinguishes the attempts of a request at upstreams; 0 from callers.
  std::uint32_t attempt = 0;
  error_kind error = error_kind::none;
  /// In refusals: whether the request may have run. Only a balancer that alone
  /// could have run the request says `not_run`.
  certainty outcome = certainty::not_applicable;
  /// Index of this part, less than `parts`.
  std::uint16_t part = 0;
  /// Number of parts of the whole answer, 1 to `max_parts`.
  std::uint16_t parts = 1;
  /// Time until the sender's deadline for the request, in milliseconds.
  std::uint32_t time_left_ms = 0;
  service_id service{};
  flow_id flow{};
  request_id request{};
  /// An upstream rejects a request that arrives after this time; 0 from
  /// callers.
  unix_ms send_by = 0;
  /// Incarnation of the answering upstream; 0 from callers and balancers.
  incarnation upstream_run{};
  /// Requests in progress at the answering upstream, as reported by it.
  std::uint16_t reported_load = 0;

  friend bool operator==(const packet_header&, const packet_header&) = default;
};

/// A decoded datagram.
struct packet {
  packet_header header;
  /// Empty, or a sealed token, which the caller echoes; at most `max_token`
  /// bytes.
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

/// Encodes `p`. Token and payload must not exceed `max_token` and
/// `max_payload` bytes.
bytes encode(const packet& p);

/// Decodes one datagram; nullopt if its size is wrong or a field is out of
/// range.
std::optional<packet> decode_packet(bytes_view datagram);

/// The header that the fabric puts before a caller's datagram. The fabric
/// guarantees that the addresses are correct.
struct fabric_envelope {
  endpoint caller;
  endpoint service;

  friend bool operator==(const fabric_envelope&,
                         const fabric_envelope&) = default;
};

inline constexpr std::size_t envelope_size = 16;

/// Encodes `envelope` followed by `inner`.
bytes encode(const fabric_envelope& envelope, bytes_view inner);

/// A decoded envelope and a view of the datagram that follows it.
struct enveloped_datagram {
  fabric_envelope envelope;
  bytes_view inner;
};

/// Decodes the envelope; nullopt if the datagram does not start with one.
std::optional<enveloped_datagram> decode_envelope(bytes_view datagram);

}  // namespace rosemarydrum
