#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "metrics/duration_histogram.h"

namespace rosemarydrum {

enum class counter : std::uint8_t {
  fabric_received,
  upstream_received,
  peer_received,
  peer_refused,
  peer_rate_limited,
  send_failed,
  message_too_large,
  count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(counter::count)>
    counter_names{{"fabric_received", "upstream_received", "peer_received",
                   "peer_refused", "peer_rate_limited", "send_failed",
                   "message_too_large"}};

/// The data thread's metrics at one point in time.
struct metrics_snapshot {
  bool ready = false;
  bool leaving = false;
  std::uint64_t configuration = 0;
  std::uint64_t unfinished_requests = 0;
  std::uint64_t flows = 0;
  std::uint64_t live_peers = 0;
  std::uint64_t decided_shards = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(counter::count)>
      counters{};
  /// Time to handle one datagram from the fabric.
  duration_histogram fabric_time;
  /// Time to handle one datagram from an upstream.
  duration_histogram upstream_time;
  /// Time to handle one message from a peer.
  duration_histogram peer_time;
  /// Delay of the 10 ms tick after its due time.
  duration_histogram tick_delay;

  std::uint64_t& operator[](counter which) {
    return counters[static_cast<std::size_t>(which)];
  }
};

}  // namespace rosemarydrum
