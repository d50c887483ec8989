#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rosemarydrum/spread/spread_message.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A message to several members.
struct spread_datagram {
  std::vector<endpoint> to;
  spread_message message;
};

enum class fetch_kind : std::uint8_t {
  /// Changes after a revision.
  newer,
  /// What the store does not list: recently removed items, which open flows may
  /// still refer to, and versions that it lost in a restore.
  unlisted,
};

/// A request for items of a member, over a connection.
struct fetch_request {
  endpoint from;
  fetch_kind kind = fetch_kind::newer;
  /// For `newer`: the requester's revision.
  revision after{};
  /// The fetch fails if it takes longer.
  duration deadline = milliseconds(1500);
};

/// Actions that a replica_spread requests of its host.
struct spread_output {
  std::vector<spread_datagram> datagrams;
  /// Items that were updated or removed in the replica.
  std::vector<kv_item> updated_items;
  /// The host ends each fetch with a call of `on_fetched`.
  std::optional<fetch_request> fetch;
};

}  // namespace rosemarydrum
