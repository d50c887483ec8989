#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/types.h"

/// Text form of IPv4 addresses: dotted decimal without leading zeros.
namespace rosemarydrum {

/// Parses "192.0.2.1"; nullopt if malformed.
std::optional<std::uint32_t> parse_ipv4(std::string_view text);

/// Parses "192.0.2.1:443"; nullopt if malformed or the port is below
/// `lowest_port`.
std::optional<endpoint> parse_endpoint(std::string_view text,
                                       std::uint16_t lowest_port = 1);
std::string to_string(const endpoint& address);

/// Parses "192.0.2.0/24"; nullopt if malformed or host bits are set.
std::optional<ip_prefix> parse_prefix(std::string_view text);
std::string to_string(const ip_prefix& prefix);

}  // namespace rosemarydrum
