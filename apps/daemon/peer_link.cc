#include "daemon/peer_link.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/debug.h>

#include <map>

#include "daemon/listeners.h"
#include "daemon/rpc_limits.h"
#include "peer_rpc.capnp.h"

namespace rosemarydrum {
namespace {

constexpr std::size_t max_queued = 64;
constexpr std::size_t max_in_flight = 4;
// A message older than this is of no use to a peer that was unreachable.
constexpr auto message_lifetime = 10 * kj::SECONDS;
constexpr auto idle_timeout = 30 * kj::SECONDS;
constexpr auto reopen_delay = 500 * kj::MILLISECONDS;

sockaddr_in to_sockaddr(const endpoint& from) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(from.address);
  address.sin_port = htons(from.port);
  return address;
}

}  // namespace

struct peer_link::connection final : private kj::TaskSet::ErrorHandler {
  explicit connection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT,
                rpc_reader_options()),
        rpc(capnp::makeRpcClient(network)),
        peer(bootstrap(rpc)),
        calls(*this) {}

  static wire::Peer::Client bootstrap(
      capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
    capnp::MallocMessageBuilder builder;
    auto id = builder.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(id).castAs<wire::Peer>();
  }

  void taskFailed(kj::Exception&& exception) override {
    VLOG(1) << "RPC call failed: " << exception.getDescription().cStr();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Peer::Client peer;
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, queued_message> in_flight;
  kj::TaskSet calls;
};

peer_link::peer_link(kj::AsyncIoContext& io, endpoint address)
    : io_(io),
      address_(address),
      last_message_(io.provider->getTimer().now()),
      tasks_(new_tasks()) {}

kj::Own<kj::TaskSet> peer_link::new_tasks() {
  return kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
}

void peer_link::send(bytes encoded) {
  if (queue_.size() >= max_queued) {
    queue_.pop_front();
    ++dropped_;
  }
  last_message_ = io_.provider->getTimer().now();
  queue_.push_back({std::move(encoded), last_message_});
  if (current_ != nullptr) {
    send_queued(*current_);
  } else if (!connect_pending_) {
    open();
  }
}

void peer_link::set_address(endpoint address) {
  if (address == address_) {
    return;
  }
  address_ = address;
  // Cancels the tasks of the old address, which closes their connection.
  tasks_ = new_tasks();
  current_ = nullptr;
  connect_pending_ = false;
  if (!queue_.empty()) {
    open();
  }
}

void peer_link::open() {
  connect_pending_ = true;
  const auto address = to_sockaddr(rpc_address(address_));
  auto& timer = io_.provider->getTimer();
  auto target =
      io_.provider->getNetwork().getSockaddr(&address, sizeof(address));
  auto connected = target->connect().attach(kj::mv(target));
  tasks_->add(timer.timeoutAfter(connection_deadline, kj::mv(connected))
                  .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                    return run(kj::mv(stream));
                  })
                  .then([] {},
                        [](kj::Exception&& exception) {
                          LOG(WARNING)
                              << "event=304 name=connection_replaced reason=\""
                              << exception.getDescription().cStr() << '"';
                        })
                  .then([&timer] { return timer.afterDelay(reopen_delay); })
                  .then([this] {
                    current_ = nullptr;
                    connect_pending_ = false;
                    if (!queue_.empty()) {
                      open();
                    }
                  }));
}

kj::Promise<void> peer_link::run(kj::Own<kj::AsyncIoStream> stream) {
  auto owned = kj::heap<connection>(kj::mv(stream));
  auto& opened = *owned;
  current_ = &opened;
  connect_pending_ = false;
  send_queued(opened);
  return heartbeat(opened)
      .exclusiveJoin(opened.network.onDisconnect())
      // The first attachment is destroyed first: `on_closed` still needs the
      // connection.
      .attach(kj::defer([this, &opened] { on_closed(opened); }))
      .attach(kj::mv(owned));
}

kj::Promise<void> peer_link::heartbeat(connection& active) {
  auto& timer = io_.provider->getTimer();
  return timer
      .timeoutAfter(connection_deadline,
                    active.peer.pingRequest().send().ignoreResult())
      .then([&timer] { return timer.afterDelay(connection_heartbeat); })
      .then([this, &active, &timer]() -> kj::Promise<void> {
        if (timer.now() - last_message_ > idle_timeout) {
          return kj::READY_NOW;
        }
        return heartbeat(active);
      });
}

void peer_link::send_queued(connection& active) {
  const auto now = io_.provider->getTimer().now();
  while (!queue_.empty() && active.in_flight.size() < max_in_flight) {
    auto message = std::move(queue_.front());
    queue_.pop_front();
    if (now - message.queued > message_lifetime) {
      ++dropped_;
      continue;
    }
    auto request = active.peer.deliverRequest();
    request.setMessage(
        kj::arrayPtr(message.encoded.data(), message.encoded.size()));
    const auto call = ++active.last_call;
    active.in_flight.emplace(call, std::move(message));
    active.calls.add(request.send().ignoreResult().then(
        [this, &active, call] { on_answered(active, call); },
        [this, &active, call](kj::Exception&& exception) {
          // When the connection breaks, `run` ends and `on_closed` queues the
          // message again.
          if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
            VLOG(1) << "peer message refused: "
                    << exception.getDescription().cStr();
            on_answered(active, call);
          }
        }));
  }
}

void peer_link::on_answered(connection& active, std::uint64_t call) {
  active.in_flight.erase(call);
  send_queued(active);
}

void peer_link::on_closed(connection& closed) {
  current_ = nullptr;
  // Prevents `send` from connecting before the reopen delay has passed.
  connect_pending_ = true;
  for (auto at = closed.in_flight.rbegin(); at != closed.in_flight.rend();
       ++at) {
    queue_.push_front(std::move(at->second));
  }
  closed.in_flight.clear();
}

void peer_link::taskFailed(kj::Exception&& exception) {
  LOG(WARNING) << "RPC link failed: " << exception.getDescription().cStr();
}

}  // namespace rosemarydrum
