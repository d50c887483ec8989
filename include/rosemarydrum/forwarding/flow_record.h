#pragma once

#include <cstdint>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class flow_record_kind : std::uint8_t {
  /// The opening packet was sent to an upstream, and another forwarder may have
  /// sent it to one as well.
  opening,
  /// The flow is open at the upstream.
  open,
};

/// What one forwarder tells the others of a flow whose tag may name an upstream
/// that does not hold it.
struct flow_record {
  flow_ends flow;
  flow_record_kind kind = flow_record_kind::open;
  upstream_key upstream{};
  /// Time since the record was made.
  milliseconds age{0};

  friend bool operator==(const flow_record&, const flow_record&) = default;
};

}  // namespace rosemarydrum
