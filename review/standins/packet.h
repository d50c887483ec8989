#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace review {

/// The packets of PROTOCOL.md: a header of 34 bytes and up to 1,200 of data.
struct packet {
  static constexpr std::uint8_t syn = 16;
  static constexpr std::uint8_t ack = 4;
  static constexpr std::uint8_t fin = 64;
  static constexpr std::uint8_t rst = 32;
  static constexpr std::uint8_t bounced = 2;
  static constexpr std::size_t header_bytes = 34;

  std::uint32_t seq = 0;
  std::uint32_t acknowledged = 0;
  std::uint8_t flags = 0;
  std::uint32_t echo = 0;
  std::uint32_t sum = 0;
  std::uint32_t dst = 0;
  std::uint16_t dport = 0;
  std::uint32_t src = 0;
  std::uint16_t sport = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

namespace detail {

inline void put(std::string& to, std::uint32_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    to += static_cast<char>(value >> shift & 255U);
  }
}

inline std::uint32_t get(const std::string& from, std::size_t at, int bytes) {
  std::uint32_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<std::uint8_t>(from[at + i]);
  }
  return value;
}

}  // namespace detail

/// The keyed sum over all fields but `echo`, `pad` and BOUNCED.
inline std::uint32_t sum_of(const packet& of) {
  std::string covered = "key of the ends";
  for (const auto field :
       {of.seq, of.acknowledged, std::uint32_t(of.flags & ~packet::bounced),
        of.dst, std::uint32_t(of.dport), of.src, std::uint32_t(of.sport)}) {
    detail::put(covered, field, 4);
  }
  covered += of.data;
  std::uint32_t sum = 2166136261U;
  for (const auto byte : covered) {
    sum = (sum ^ static_cast<std::uint8_t>(byte)) * 16777619U;
  }
  return sum == 0 ? 1 : sum;
}

inline std::string encode(const packet& from) {
  std::string text;
  detail::put(text, from.seq, 4);
  detail::put(text, from.acknowledged, 4);
  detail::put(text, from.flags, 1);
  detail::put(text, 0, 3);
  detail::put(text, from.echo, 4);
  detail::put(text, from.sum, 4);
  detail::put(text, from.dst, 4);
  detail::put(text, from.sport, 2);
  detail::put(text, from.src, 4);
  detail::put(text, from.dport, 2);
  detail::put(text, static_cast<std::uint32_t>(from.data.size()), 2);
  return text + from.data;
}

inline std::optional<packet> decode(const std::string& text) {
  if (text.size() < packet::header_bytes ||
      detail::get(text, 32, 2) != text.size() - packet::header_bytes) {
    return std::nullopt;
  }
  packet read;
  read.seq = detail::get(text, 0, 4);
  read.acknowledged = detail::get(text, 4, 4);
  read.flags = static_cast<std::uint8_t>(detail::get(text, 8, 1));
  read.echo = detail::get(text, 12, 4);
  read.sum = detail::get(text, 16, 4);
  read.dst = detail::get(text, 20, 4);
  read.sport = static_cast<std::uint16_t>(detail::get(text, 24, 2));
  read.src = detail::get(text, 26, 4);
  read.dport = static_cast<std::uint16_t>(detail::get(text, 30, 2));
  read.data = text.substr(packet::header_bytes);
  return read;
}

}  // namespace review
