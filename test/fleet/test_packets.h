#pragma once

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <string>

#include "rosemarydrum/forwarding/flow_packet.h"

/// Packets in the format of the platform's callers.
namespace rosemarydrum::test_packets {

inline constexpr std::uint8_t syn = 16;
inline constexpr std::uint8_t ack = 4;
inline constexpr std::uint8_t fin = 64;
inline constexpr std::uint8_t rst = 32;

struct head {
  flow_ends flow;
  std::uint8_t flags = syn;
  std::uint32_t sequence = 7;
  std::uint32_t acknowledged = 0;
  std::uint32_t echo = 0;
};

inline bytes datagram_of(const head& from, const std::string& data = {}) {
  namespace endian = boost::endian;
  bytes datagram(34 + data.size());
  auto* at = datagram.data();
  endian::store_big_u32(at, from.sequence);
  endian::store_big_u32(at + 4, from.acknowledged);
  at[8] = from.flags;
  endian::store_big_u32(at + 12, from.echo);
  endian::store_big_u32(at + 16, 0xa1b2c3d5);
  endian::store_big_u32(at + 20, from.flow.service.address);
  endian::store_big_u16(at + 24, from.flow.caller.port);
  endian::store_big_u32(at + 26, from.flow.caller.address);
  endian::store_big_u16(at + 30, from.flow.service.port);
  endian::store_big_u16(at + 32, static_cast<std::uint16_t>(data.size()));
  std::copy(data.begin(), data.end(), datagram.begin() + 34);
  return datagram;
}

inline const endpoint default_service{0xc6120001, 443};

inline flow_ends flow_of(std::uint16_t port,
                         const endpoint& service = default_service) {
  return {{0x64400007, port}, service};
}

}  // namespace rosemarydrum::test_packets
