#pragma once

#include <atomic>
#include <map>
#include <variant>
#include <vector>

#include "daemon/metrics_snapshot.h"
#include "io/bounded_ring.h"
#include "io/latest_value.h"
#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/balancer/peer_message.h"

/// The messages that the daemon's threads exchange.
namespace rosemarydrum {

/// From peer RPC to data thread: a peer's message; `from` is its configured
/// data address.
struct received_message {
  endpoint from;
  peer_message message;
};
/// From peer RPC to data thread: an operator's query for a page of the event
/// log, starting at event `first`.
struct events_query {
  std::uint64_t query = 0;
  std::uint64_t first = 0;
};
struct status_query {
  std::uint64_t query = 0;
};
using rpc_event = std::variant<received_message, events_query, status_query>;

/// From data to peer RPC thread: a peer message too large for a datagram.
struct large_message {
  balancer_id to{};
  bytes encoded;
};
struct events_reply {
  std::uint64_t query = 0;
  bytes page;
};
struct status_reply {
  std::uint64_t query = 0;
  balancer_run self;
  data_centre_id data_centre{};
  balancer_status status;
};
/// The data addresses of the configured peers.
struct peer_addresses {
  std::map<balancer_id, endpoint> all;
};
using rpc_command =
    std::variant<large_message, events_reply, status_reply, peer_addresses>;

/// From store to data thread.
struct store_documents {
  std::vector<document> documents;
};
struct store_state {
  bool reachable = false;
};
using store_event = std::variant<store_documents, store_state>;

/// From data to metrics thread, which also writes the log, so that a slow
/// reader of standard error does not delay packets.
using metrics_event = std::variant<metrics_snapshot, event_record>;

struct thread_rings {
  bounded_ring<rpc_event> rpc_to_data{1024};
  bounded_ring<rpc_command> data_to_rpc{1024};
  bounded_ring<store_event> store_to_data{256};
  bounded_ring<metrics_event> data_to_metrics{4096};
  /// Set by the data thread: whether this balancer is to read the store.
  std::atomic<bool> reads_store{true};
  /// Set by the data thread: the revision up to which it has the configuration.
  latest_value<revision> applied;
};

}  // namespace rosemarydrum
