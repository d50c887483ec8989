#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/events/event_log.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct balancer_settings {
  balancer_run self;
  data_centre_id data_centre{};
  /// Shared by a deployment's balancers; at least 16 bytes.
  bytes token_secret;
  std::uint64_t seed = 1;
  /// Peers to ask for the configuration until it lists balancers of this data
  /// centre.
  std::vector<balancer_entry> bootstrap;
};

/// State for metrics and readiness checks.
struct balancer_status {
  bool ready = false;
  bool leaving = false;
  revision configuration{};
  std::size_t unfinished_requests = 0;
  std::size_t flows = 0;
  std::vector<shard_id> decided;
  std::vector<balancer_id> live;
};

/// A message to another balancer.
struct peer_datagram {
  balancer_id to{};
  endpoint address;
  peer_message message;
};
/// A datagram to an upstream.
struct upstream_datagram {
  endpoint address;
  packet datagram;
};
/// A datagram to the fabric, which delivers it to the caller.
struct caller_datagram {
  fabric_envelope envelope;
  packet datagram;
};

/// Output of a balancer. Calls append to it; the host sends and clears it.
struct balancer_output {
  std::vector<peer_datagram> to_peers;
  std::vector<upstream_datagram> to_upstreams;
  std::vector<caller_datagram> to_callers;
  /// New entries of the event log.
  std::vector<event_record> events;

  void clear();
};

/// A balancer without sockets or threads: composes the components and routes
/// messages between them. Not thread-safe.
class balancer {
 public:
  balancer(balancer_settings settings, time_point started);
  ~balancer();

  /// Handles documents read from the configuration store.
  void on_store_documents(std::span<const document> documents, time_point now,
                          balancer_output& out);
  /// Sets whether the configuration store can be reached.
  void on_store_state(bool reachable, time_point now, balancer_output& out);
  /// Whether this balancer must read the store: it is one of the data centre's
  /// two readers, or has no complete configuration yet.
  bool reads_store(time_point now) const;

  /// Handles a datagram from a fabric address of the settings.
  void on_fabric(bytes_view datagram, time_point now, balancer_output& out);
  /// Handles a datagram from any other address, which should be an upstream's.
  void on_upstream(const endpoint& from, bytes_view datagram, time_point now,
                   balancer_output& out);
  /// Handles a message from a peer at address `from`.
  void on_peer(const endpoint& from, const peer_message& message,
               time_point now, balancer_output& out);

  /// Call every 10 ms.
  void tick(time_point now, balancer_output& out);

  /// Starts the graceful shutdown.
  void shut_down(time_point now, balancer_output& out);
  /// Whether the process may exit: all requests are finished or the shutdown
  /// has reached its time limit.
  bool may_exit(time_point now) const;

  balancer_status status(time_point now) const;
  const configuration& current_configuration() const;
  const event_log& events() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
