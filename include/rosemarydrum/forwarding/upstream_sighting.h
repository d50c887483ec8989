#pragma once

#include <cstdint>

#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class sighting_kind : std::uint8_t {
  /// The upstream has answered a caller.
  answer,
  /// A caller's data was sent and not acknowledged.
  lost_data,
  /// A caller's opening packet was sent and not answered in time.
  unanswered_handshake,
};

/// What one member has seen of an upstream and tells the others at once.
struct upstream_sighting {
  upstream_key upstream{};
  sighting_kind kind = sighting_kind::answer;
  /// Time since the answer, or since the data or the packet was sent.
  milliseconds age{0};
  /// For how long the flow of an answer was open then; 0 for a handshake.
  milliseconds open_time{0};

  friend bool operator==(const upstream_sighting&,
                         const upstream_sighting&) = default;
};

/// A sighting of another member.
struct reported_sighting {
  incarnation reporter{};
  upstream_sighting sighting;
};

}  // namespace rosemarydrum
