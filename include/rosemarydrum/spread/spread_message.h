#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/spread/failure_report.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/types.h"

/// What forwarders tell each other.
namespace rosemarydrum {

/// What the sender knows of the store.
struct bulletin {
  /// The sender reads the store itself, with success.
  bool reading = false;
  /// The sender is stopping.
  bool leaving = false;
  /// When the store last confirmed it, before the message was sent.
  milliseconds age{0};
  item_listing listing;
};

/// Asks for a bulletin of what changed after the revision of the message.
struct inquiry {};

struct spread_message {
  /// Name of the sending member.
  std::string sender;
  incarnation run{};
  /// All changes up to this revision are known to the sender.
  revision at{};
  std::variant<bulletin, inquiry, failure_report> body;
  /// Set by the host when the message is sent.
  std::uint64_t logical_time = 0;
};

/// Longest message in one datagram, to pass links without fragments.
inline constexpr std::size_t max_spread_datagram = 1'400;
/// Longest message over a connection.
inline constexpr std::size_t max_spread_message = 16 << 20;

bytes encode(const spread_message& message);
/// Nullopt if the message is malformed or longer than `max_spread_message`.
std::optional<spread_message> decode_spread_message(bytes_view encoded);

}  // namespace rosemarydrum
