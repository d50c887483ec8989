#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/spread/failure_report.h"
#include "rosemarydrum/spread/flow_record_report.h"
#include "rosemarydrum/spread/member_history.h"
#include "rosemarydrum/spread/sighting_report.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/types.h"

/// Messages between forwarders.
namespace rosemarydrum {

/// Items of the sender's replica, and its state as a reader of the store.
struct bulletin {
  /// The sender reads the store itself, and the last call succeeded.
  bool reading = false;
  /// The sender is stopping.
  bool leaving = false;
  /// Time between the store's last confirmation of the replica and the sending
  /// of the message.
  milliseconds age{0};
  item_listing listing;
  /// Only in answers to processes that start.
  std::optional<member_history> history;
};

/// Requests a bulletin of the changes after the revision of the message.
struct inquiry {};

struct spread_message {
  /// Name of the sending member.
  std::string sender;
  incarnation run{};
  /// The sender knows all changes up to this revision.
  revision at{};
  std::variant<bulletin, inquiry, failure_report, flow_record_report,
               sighting_report>
      body;
  /// Set by the host on sending.
  std::uint64_t logical_time = 0;
};

/// Bytes of the longest datagram; links pass it without fragmentation.
inline constexpr std::size_t max_spread_datagram = 1'400;
/// Bytes of the longest message over a connection.
inline constexpr std::size_t max_spread_message = 16 << 20;

bytes encode(const spread_message& message);
/// Returns nullopt if the message is malformed or longer than
/// `max_spread_message`.
std::optional<spread_message> decode_spread_message(bytes_view encoded);

}  // namespace rosemarydrum
