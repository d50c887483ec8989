#pragma once

#include <kj/timer.h>

#include <memory>

#include "daemon/message_rate.h"
#include "daemon/rpc_queries.h"
#include "peer_rpc.capnp.h"

namespace rosemarydrum {

/// State that all connections of the RPC server share.
struct peer_service_state {
  peer_service_state(thread_rings& shared_rings, kj::Timer& clock)
      : rings(shared_rings),
        timer(clock),
        events(shared_rings, clock),
        status(shared_rings, clock) {}

  thread_rings& rings;
  kj::Timer& timer;
  peer_addresses peers;
  rpc_queries<events_query, events_reply> events;
  rpc_queries<status_query, status_reply> status;
};

/// The RPC interface on one connection.
class peer_service final : public wire::Peer::Server {
 public:
  /// `remote` is the IPv4 address of the client. Each call sets `last_heard` to
  /// the current time.
  peer_service(peer_service_state& state, std::uint32_t remote,
               std::shared_ptr<kj::TimePoint> last_heard);

  kj::Promise<void> deliver(DeliverContext context) override;
  kj::Promise<void> ping(PingContext context) override;
  kj::Promise<void> events(EventsContext context) override;
  kj::Promise<void> status(StatusContext context) override;

 private:
  /// Updates `last_heard`. Throws if the connection exceeds its rate limit.
  void on_call();

  peer_service_state& state_;
  std::uint32_t remote_;
  std::shared_ptr<kj::TimePoint> last_heard_;
  message_rate rate_;
};

}  // namespace rosemarydrum
