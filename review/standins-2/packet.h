#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

/// The platform's packets as PROTOCOL.md ("Packets") describes them.
namespace review {

using bytes = std::vector<std::uint8_t>;

constexpr std::uint8_t syn = 16;
constexpr std::uint8_t ack = 4;
constexpr std::uint8_t fin = 64;
constexpr std::uint8_t rst = 32;

constexpr std::size_t head_bytes = 34;
constexpr std::size_t max_data = 1200;

struct packet {
  std::uint32_t seq = 0;
  std::uint32_t acked = 0;
  std::uint8_t flags = 0;
  std::uint32_t echo = 0;
  std::uint32_t sum = 0;
  std::uint32_t src = 0;
  std::uint16_t sport = 0;
  std::uint32_t dst = 0;
  std::uint16_t dport = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

inline void put(bytes& to, std::size_t at, std::uint64_t value, int size) {
  for (int i = 0; i < size; ++i) {
    to[at + static_cast<std::size_t>(i)] =
        static_cast<std::uint8_t>(value >> (8 * (size - 1 - i)));
  }
}

inline std::uint64_t get(const std::uint8_t* from, int size) {
  std::uint64_t value = 0;
  for (int i = 0; i < size; ++i) {
    value = value << 8 | from[i];
  }
  return value;
}

/// A sum over all fields except `echo` and the padding, with a fixed key.
inline std::uint32_t sum_of(const packet& from) {
  std::uint64_t hash = 0x9e3779b97f4a7c15;
  const auto mix = [&hash](std::uint64_t value) {
    hash = (hash ^ value) * 0x100000001b3;
    hash ^= hash >> 29;
  };
  mix(from.seq);
  mix(from.acked);
  mix(from.flags);
  mix(from.src);
  mix(from.sport);
  mix(from.dst);
  mix(from.dport);
  for (const char each : from.data) {
    mix(static_cast<std::uint8_t>(each));
  }
  const auto sum = static_cast<std::uint32_t>(hash >> 32);
  return sum == 0 ? 1 : sum;
}

inline bytes encode(const packet& from) {
  bytes to(head_bytes);
  put(to, 0, from.seq, 4);
  put(to, 4, from.acked, 4);
  put(to, 8, from.flags, 1);
  put(to, 12, from.echo, 4);
  put(to, 16, from.sum, 4);
  put(to, 20, from.dst, 4);
  put(to, 24, from.sport, 2);
  put(to, 26, from.src, 4);
  put(to, 30, from.dport, 2);
  put(to, 32, from.data.size(), 2);
  to.insert(to.end(), from.data.begin(), from.data.end());
  return to;
}

inline std::optional<packet> decode(const std::uint8_t* from,
                                    std::size_t size) {
  if (size < head_bytes || get(from + 32, 2) != size - head_bytes) {
    return std::nullopt;
  }
  packet to;
  to.seq = static_cast<std::uint32_t>(get(from, 4));
  to.acked = static_cast<std::uint32_t>(get(from + 4, 4));
  to.flags = from[8];
  to.echo = static_cast<std::uint32_t>(get(from + 12, 4));
  to.sum = static_cast<std::uint32_t>(get(from + 16, 4));
  to.dst = static_cast<std::uint32_t>(get(from + 20, 4));
  to.sport = static_cast<std::uint16_t>(get(from + 24, 2));
  to.src = static_cast<std::uint32_t>(get(from + 26, 4));
  to.dport = static_cast<std::uint16_t>(get(from + 30, 2));
  to.data.assign(reinterpret_cast<const char*>(from + head_bytes),
                 size - head_bytes);
  return to;
}

}  // namespace review
