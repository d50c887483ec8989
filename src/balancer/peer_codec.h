#pragma once

#include <cstddef>

#include "peer.capnp.h"
#include "rosemarydrum/balancer/peer_message.h"

/// The codec of peer messages, one overload for each type.
namespace rosemarydrum::detail {

/// Entries that any list of a message may have.
inline constexpr std::size_t max_list = 4096;

/// Whether the lists, numbers and texts of `body` are in their bounds.
bool in_bounds(const peer_body& body);

void write(const peer_body& body, wire::PeerMessage::Body::Builder to);

/// False if the message is of an unknown type or a list is too long.
/// Throws kj::Exception if the encoding is malformed.
bool read(wire::PeerMessage::Body::Reader from, peer_body& to);

}  // namespace rosemarydrum::detail
