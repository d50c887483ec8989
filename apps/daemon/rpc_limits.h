#pragma once

#include <capnp/message.h>
#include <kj/time.h>

#include "rosemarydrum/balancer/peer_message.h"

namespace rosemarydrum {

/// Interval of the pings on each connection.
inline constexpr auto connection_heartbeat = 1 * kj::SECONDS;
/// A connection is closed if the other end has been silent for this long.
inline constexpr auto connection_deadline = 3 * kj::SECONDS;

/// Limits one RPC message to a peer message and the RPC protocol's envelope.
inline capnp::ReaderOptions rpc_reader_options() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = 2 * max_peer_message / sizeof(capnp::word);
  options.nestingLimit = 16;
  return options;
}

}  // namespace rosemarydrum
