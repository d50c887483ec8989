#pragma once

#include <cstddef>

#include "peer.capnp.h"
#include "rosemarydrum/balancer/peer_message.h"

/// Validates peer messages and converts them to and from Cap'n Proto.
namespace rosemarydrum::detail {

/// Maximum number of entries in any list of a message.
inline constexpr std::size_t max_list_size = 4096;

/// Whether all lists, numbers and texts of `body` are within their bounds.
bool in_bounds(const peer_body& body);

void write(const peer_body& body, wire::PeerMessage::Body::Builder to);

/// False if the message is of an unknown type or a list is too long.
/// Throws kj::Exception if the encoding is malformed.
bool read(wire::PeerMessage::Body::Reader from, peer_body& to);

}  // namespace rosemarydrum::detail
