#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rosemarydrum/spread/spread_message.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A message for several members.
struct spread_datagram {
  std::vector<endpoint> to;
  spread_message message;
};

enum class fetch_kind : std::uint8_t {
  /// What changed after a revision.
  newer,
  /// What was removed lately: flows may still belong to it.
  removed,
};

/// Items to get from a member over a connection.
struct fetch_request {
  endpoint from;
  fetch_kind kind = fetch_kind::newer;
  /// For `newer`: the revision that is known.
  revision after{};
};

/// What a spread asks its host to do.
struct spread_output {
  std::vector<spread_datagram> datagrams;
  /// Items that are newer than those known before.
  std::vector<kv_item> fresh;
  /// The host reports the end of each fetch with `on_fetched`.
  std::optional<fetch_request> fetch;
};

}  // namespace rosemarydrum
