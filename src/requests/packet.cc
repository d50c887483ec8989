#include "rosemarydrum/requests/packet.h"

#include <boost/assert.hpp>
#include <boost/endian/buffers.hpp>
#include <cstring>

namespace rosemarydrum {
namespace {

using boost::endian::big_uint16_buf_t;
using boost::endian::big_uint32_buf_t;
using boost::endian::big_uint64_buf_t;
using boost::endian::big_uint8_buf_t;

constexpr std::uint32_t packet_magic = 0x52445031;    // "RDP1"
constexpr std::uint32_t envelope_magic = 0x52444531;  // "RDE1"
constexpr std::uint8_t packet_version = 1;

constexpr std::uint8_t flag_idempotent = 1;
constexpr std::uint8_t flag_opens_flow = 2;
constexpr std::uint8_t known_flags = flag_idempotent | flag_opens_flow;

struct wire_header {
  big_uint32_buf_t magic;
  big_uint8_buf_t version;
  big_uint8_buf_t kind;
  big_uint8_buf_t flags;
  big_uint8_buf_t priority;
  big_uint32_buf_t attempt;
  big_uint8_buf_t error;
  big_uint8_buf_t outcome;
  big_uint16_buf_t part;
  big_uint16_buf_t parts;
  big_uint16_buf_t token_size;
  big_uint16_buf_t payload_size;
  big_uint16_buf_t reported_load;
  big_uint32_buf_t time_left_ms;
  big_uint32_buf_t service;
  big_uint64_buf_t flow;
  big_uint64_buf_t request;
  big_uint64_buf_t send_by;
  big_uint64_buf_t upstream_run;
};
static_assert(sizeof(wire_header) == header_size);

struct wire_envelope {
  big_uint32_buf_t magic;
  big_uint32_buf_t caller_address;
  big_uint32_buf_t service_address;
  big_uint16_buf_t caller_port;
  big_uint16_buf_t service_port;
};
static_assert(sizeof(wire_envelope) == envelope_size);

bool is_valid(const wire_header& wire) {
  return wire.magic.value() == packet_magic &&
         wire.version.value() == packet_version &&
         wire.kind.value() >= static_cast<std::uint8_t>(packet_kind::request) &&
         wire.kind.value() <=
             static_cast<std::uint8_t>(packet_kind::rejected_late) &&
         (wire.flags.value() & ~known_flags) == 0 &&
         wire.error.value() < static_cast<std::uint8_t>(error_kind::count) &&
         wire.outcome.value() <=
             static_cast<std::uint8_t>(certainty::not_applicable) &&
         wire.parts.value() >= 1 && wire.parts.value() <= max_parts &&
         wire.part.value() < wire.parts.value() &&
         wire.token_size.value() <= max_token &&
         wire.payload_size.value() <= max_payload &&
         wire.time_left_ms.value() <= max_time_left_ms;
}

packet_header header_of(const wire_header& wire) {
  packet_header header;
  header.kind = static_cast<packet_kind>(wire.kind.value());
  header.idempotent = (wire.flags.value() & flag_idempotent) != 0;
  header.opens_flow = (wire.flags.value() & flag_opens_flow) != 0;
  header.priority = wire.priority.value();
  header.attempt = wire.attempt.value();
  header.error = static_cast<error_kind>(wire.error.value());
  header.outcome = static_cast<certainty>(wire.outcome.value());
  header.part = wire.part.value();
  header.parts = wire.parts.value();
  header.time_left_ms = wire.time_left_ms.value();
  header.service = service_id(wire.service.value());
  header.flow = flow_id(wire.flow.value());
  header.request = request_id(wire.request.value());
  header.send_by = wire.send_by.value();
  header.upstream_run = incarnation(wire.upstream_run.value());
  header.reported_load = wire.reported_load.value();
  return header;
}

}  // namespace

bytes encode(const packet& p) {
  BOOST_ASSERT(p.token.size() <= max_token && p.payload.size() <= max_payload);
  const packet_header& header = p.header;
  const unsigned flags = (header.idempotent ? flag_idempotent : 0U) |
                         (header.opens_flow ? flag_opens_flow : 0U);
  wire_header wire;
  wire.magic = packet_magic;
  wire.version = packet_version;
  wire.kind = static_cast<std::uint8_t>(header.kind);
  wire.flags = static_cast<std::uint8_t>(flags);
  wire.priority = header.priority;
  wire.attempt = header.attempt;
  wire.error = static_cast<std::uint8_t>(header.error);
  wire.outcome = static_cast<std::uint8_t>(header.outcome);
  wire.part = header.part;
  wire.parts = header.parts;
  wire.token_size = static_cast<std::uint16_t>(p.token.size());
  wire.payload_size = static_cast<std::uint16_t>(p.payload.size());
  wire.reported_load = header.reported_load;
  wire.time_left_ms = header.time_left_ms;
  wire.service = value_of(header.service);
  wire.flow = value_of(header.flow);
  wire.request = value_of(header.request);
  wire.send_by = header.send_by;
  wire.upstream_run = value_of(header.upstream_run);

  bytes datagram(header_size);
  datagram.reserve(header_size + p.token.size() + p.payload.size());
  std::memcpy(datagram.data(), &wire, header_size);
  datagram.insert(datagram.end(), p.token.begin(), p.token.end());
  datagram.insert(datagram.end(), p.payload.begin(), p.payload.end());
  return datagram;
}

std::optional<packet> decode_packet(bytes_view datagram) {
  if (datagram.size() < header_size) {
    return std::nullopt;
  }
  wire_header wire;
  std::memcpy(&wire, datagram.data(), header_size);
  if (!is_valid(wire)) {
    return std::nullopt;
  }
  const std::size_t token_size = wire.token_size.value();
  if (datagram.size() != header_size + token_size + wire.payload_size.value()) {
    return std::nullopt;
  }
  const auto token = datagram.subspan(header_size, token_size);
  const auto payload = datagram.subspan(header_size + token_size);
  return packet{header_of(wire), bytes(token.begin(), token.end()),
                bytes(payload.begin(), payload.end())};
}

bytes encode(const fabric_envelope& envelope, bytes_view inner) {
  wire_envelope wire;
  wire.magic = envelope_magic;
  wire.caller_address = envelope.caller.address;
  wire.service_address = envelope.service.address;
  wire.caller_port = envelope.caller.port;
  wire.service_port = envelope.service.port;
  bytes datagram(envelope_size);
  datagram.reserve(envelope_size + inner.size());
  std::memcpy(datagram.data(), &wire, envelope_size);
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

std::optional<enveloped_datagram> decode_envelope(bytes_view datagram) {
  if (datagram.size() < envelope_size) {
    return std::nullopt;
  }
  wire_envelope wire;
  std::memcpy(&wire, datagram.data(), envelope_size);
  if (wire.magic.value() != envelope_magic) {
    return std::nullopt;
  }
  return enveloped_datagram{
      {{wire.caller_address.value(), wire.caller_port.value()},
       {wire.service_address.value(), wire.service_port.value()}},
      datagram.subspan(envelope_size)};
}

}  // namespace rosemarydrum
