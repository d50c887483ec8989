#include "rosemarydrum/address_text.h"

#include <charconv>

namespace rosemarydrum {
namespace {

// The consume functions remove what they parse from the front of `text`.

// Parses a decimal number up to `max` without sign or leading zeros.
std::optional<std::uint32_t> consume_number(std::string_view& text,
                                            std::uint32_t max) {
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const auto length = static_cast<std::size_t>(end - text.data());
  if (error != std::errc{} || value > max ||
      (length > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  text.remove_prefix(length);
  return value;
}

bool consume(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

std::optional<std::uint32_t> consume_address(std::string_view& text) {
  std::uint32_t address = 0;
  for (int part = 0; part < 4; ++part) {
    if (part > 0 && !consume(text, '.')) {
      return std::nullopt;
    }
    const auto number = consume_number(text, 255);
    if (!number) {
      return std::nullopt;
    }
    address = address << 8 | *number;
  }
  return address;
}

std::string format_address(std::uint32_t address) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(address >> shift & 255U);
    text += shift > 0 ? "." : "";
  }
  return text;
}

}  // namespace

std::optional<std::uint32_t> parse_ipv4(std::string_view text) {
  const auto address = consume_address(text);
  return text.empty() ? address : std::nullopt;
}

std::optional<endpoint> parse_endpoint(std::string_view text,
                                       std::uint16_t lowest_port) {
  const auto address = consume_address(text);
  if (!address || !consume(text, ':')) {
    return std::nullopt;
  }
  const auto port = consume_number(text, 65'535);
  if (!port || *port < lowest_port || !text.empty()) {
    return std::nullopt;
  }
  return endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const endpoint& address) {
  return format_address(address.address) + ":" + std::to_string(address.port);
}

std::optional<ip_prefix> parse_prefix(std::string_view text) {
  const auto address = consume_address(text);
  if (!address || !consume(text, '/')) {
    return std::nullopt;
  }
  const auto length = consume_number(text, 32);
  if (!length || !text.empty()) {
    return std::nullopt;
  }
  const std::uint32_t host_bits =
      *length == 32 ? 0 : ~std::uint32_t{0} >> *length;
  if ((*address & host_bits) != 0) {
    return std::nullopt;
  }
  return ip_prefix{*address, static_cast<std::uint8_t>(*length)};
}

std::string to_string(const ip_prefix& prefix) {
  return format_address(prefix.address) + "/" + std::to_string(prefix.length);
}

}  // namespace rosemarydrum
