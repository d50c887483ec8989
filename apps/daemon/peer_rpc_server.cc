#include "daemon/peer_rpc_server.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/debug.h>

#include "daemon/rpc_limits.h"

namespace rosemarydrum {
namespace {

constexpr std::size_t max_connections = 256;

std::uint32_t remote_address(kj::AsyncIoStream& stream) {
  sockaddr_in address{};
  kj::uint size = sizeof(address);
  stream.getpeername(reinterpret_cast<sockaddr*>(&address), &size);
  return address.sin_family == AF_INET ? ntohl(address.sin_addr.s_addr) : 0;
}

}  // namespace

struct peer_rpc_server::connection {
  connection(kj::Own<kj::AsyncIoStream> accepted, peer_service_state& state,
             std::size_t& open_connections)
      : connection_count(open_connections),
        last_heard(std::make_shared<kj::TimePoint>(state.timer.now())),
        stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER,
                rpc_reader_options()),
        rpc(capnp::makeRpcServer(
            network, kj::heap<peer_service>(state, remote_address(*stream),
                                            last_heard))) {
    ++connection_count;
  }
  ~connection() { --connection_count; }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  std::size_t& connection_count;
  std::shared_ptr<kj::TimePoint> last_heard;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

peer_rpc_server::peer_rpc_server(kj::Own<kj::ConnectionReceiver> listener,
                                 peer_service_state& state)
    : listener_(kj::mv(listener)), state_(state), tasks_(*this) {
  tasks_.add(accept());
}

kj::Promise<void> peer_rpc_server::accept() {
  return listener_->accept()
      .then(
          [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void> {
            if (connections_ < max_connections) {
              serve(kj::mv(stream));
            }
            return kj::READY_NOW;
          },
          [this](kj::Exception&&) -> kj::Promise<void> {
            // Accepting fails when file descriptors run out; tries again after
            // a delay, when some may have been closed.
            return state_.timer.afterDelay(100 * kj::MILLISECONDS);
          })
      .then([this] { return accept(); });
}

void peer_rpc_server::serve(kj::Own<kj::AsyncIoStream> stream) {
  auto served = kj::heap<connection>(kj::mv(stream), state_, connections_);
  auto ended = served->network.onDisconnect().exclusiveJoin(
      until_silent(served->last_heard));
  tasks_.add(ended.attach(kj::mv(served)));
}

kj::Promise<void> peer_rpc_server::until_silent(
    const std::shared_ptr<kj::TimePoint>& last_heard) {
  return state_.timer.afterDelay(connection_heartbeat)
      .then([this, last_heard]() -> kj::Promise<void> {
        if (state_.timer.now() - *last_heard > connection_deadline) {
          return kj::READY_NOW;
        }
        return until_silent(last_heard);
      });
}

void peer_rpc_server::taskFailed(kj::Exception&& exception) {
  VLOG(1) << "RPC connection ended: " << exception.getDescription().cStr();
}

}  // namespace rosemarydrum
