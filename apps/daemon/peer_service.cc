#include "daemon/peer_service.h"

#include <kj/debug.h>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

// Only messages larger than max_peer_datagram and operators' calls use RPC.
constexpr double calls_per_second = 200;
constexpr double call_burst = 200;

}  // namespace

peer_service::peer_service(peer_service_state& state, std::uint32_t remote,
                           std::shared_ptr<kj::TimePoint> last_heard)
    : state_(state),
      remote_(remote),
      last_heard_(std::move(last_heard)),
      rate_(calls_per_second, call_burst) {}

void peer_service::on_call() {
  *last_heard_ = state_.timer.now();
  if (!rate_.allow(runtime_clock::now())) {
    kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "too many calls"));
  }
}

kj::Promise<void> peer_service::deliver(DeliverContext context) {
  on_call();
  const auto data = context.getParams().getMessage();
  auto message = decode_peer_message({data.begin(), data.size()});
  if (!message) {
    return KJ_EXCEPTION(FAILED, "malformed message");
  }
  const auto peer = state_.peers.all.find(message->from.id);
  if (peer == state_.peers.all.end() || peer->second.address != remote_) {
    return KJ_EXCEPTION(FAILED, "not a configured peer");
  }
  if (!state_.rings.rpc_to_data.push(
          received_message{peer->second, std::move(*message)})) {
    return KJ_EXCEPTION(OVERLOADED, "too many messages");
  }
  return kj::READY_NOW;
}

kj::Promise<void> peer_service::ping(PingContext /*context*/) {
  on_call();
  return kj::READY_NOW;
}

kj::Promise<void> peer_service::events(EventsContext context) {
  on_call();
  const auto first = context.getParams().getFirst();
  return state_.events.ask({0, first})
      .then([context](events_reply&& reply) mutable {
        context.getResults().setPage(
            kj::arrayPtr(reply.page.data(), reply.page.size()));
      });
}

kj::Promise<void> peer_service::status(StatusContext context) {
  on_call();
  return state_.status.ask({}).then([context](status_reply&& reply) mutable {
    auto out = context.getResults().initStatus();
    out.setId(value_of(reply.self.id));
    out.setRun(value_of(reply.self.run));
    out.setDataCentre(value_of(reply.data_centre));
    out.setReady(reply.status.ready);
    out.setLeaving(reply.status.leaving);
    out.setConfiguration(reply.status.configuration.number);
    out.setUnfinishedRequests(reply.status.unfinished_requests);
    out.setFlows(reply.status.flows);
    auto decided = out.initDecided(reply.status.decided.size());
    for (unsigned i = 0; i < decided.size(); ++i) {
      decided.set(i, value_of(reply.status.decided[i]));
    }
    auto live = out.initLive(reply.status.live.size());
    for (unsigned i = 0; i < live.size(); ++i) {
      live.set(i, value_of(reply.status.live[i]));
    }
  });
}

}  // namespace rosemarydrum
