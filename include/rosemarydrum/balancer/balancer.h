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
  /// Peers to ask for the configuration before it lists any.
  std::vector<balancer_entry> bootstrap;
};

/// What scrapers and the fabric see.
struct balancer_status {
  bool ready = false;
  bool leaving = false;
  revision configuration{};
  std::size_t unfinished_requests = 0;
  std::size_t flows = 0;
  std::vector<shard_id> decided;
  std::vector<balancer_id> live;
};

/// A datagram to a peer: `message` is for one balancer of the configuration.
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
/// A datagram to the fabric, which passes it to the caller.
struct caller_datagram {
  fabric_envelope envelope;
  packet datagram;
};

/// What leaves a balancer after one input. Its host sends and clears it.
struct balancer_output {
  std::vector<peer_datagram> to_peers;
  std::vector<upstream_datagram> to_upstreams;
  std::vector<caller_datagram> to_callers;
  /// New entries of the time line, for the log.
  std::vector<event_record> events;

  void clear();
};

/// One balancer without its sockets: composes the parts and routes messages
/// between them. Not thread-safe.
class balancer {
 public:
  balancer(balancer_settings settings, time_point started);
  ~balancer();

  /// Documents that the store has shown.
  void on_store_documents(std::span<const document> documents, time_point now,
                          balancer_output& out);
  /// The store can or cannot be reached.
  void on_store_state(bool reachable, time_point now, balancer_output& out);
  /// Whether this balancer is one of the two that read the store.
  bool reads_store(time_point now) const;

  /// A datagram from a fabric address of the settings.
  void on_fabric(bytes_view datagram, time_point now, balancer_output& out);
  /// A datagram from any other address: an upstream's.
  void on_upstream(const endpoint& from, bytes_view datagram, time_point now,
                   balancer_output& out);
  /// A message from a peer; `from` is its sender's address.
  void on_peer(const endpoint& from, const peer_message& message,
               time_point now, balancer_output& out);

  /// Call every 10 ms.
  void tick(time_point now, balancer_output& out);

  /// Starts the graceful shutdown.
  void shut_down(time_point now, balancer_output& out);
  /// Everything is handed over and finished; the process may end.
  bool may_exit(time_point now) const;

  balancer_status status(time_point now) const;
  const configuration& current() const;
  const event_log& events() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
