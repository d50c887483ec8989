#include "daemon/peer_rpc_thread.h"

#include <kj/async-unix.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <system_error>

#include "daemon/peer_link.h"
#include "daemon/peer_rpc_server.h"

namespace rosemarydrum {

/// The objects that are used on the thread of the kj event loop only.
struct peer_rpc_thread::loop_state {
  loop_state(int listener, thread_rings& shared_rings)
      : io(kj::setupAsyncIo()),
        state(shared_rings, io.provider->getTimer()),
        server(io.lowLevelProvider->wrapListenSocketFd(
                   listener, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP),
               state) {}

  void on_command(rpc_command&& command) {
    if (auto* large = std::get_if<large_message>(&command)) {
      if (const auto link = links.find(large->to); link != links.end()) {
        link->second->send(std::move(large->encoded));
      }
    } else if (auto* events = std::get_if<events_reply>(&command)) {
      state.events.on_reply(std::move(*events));
    } else if (auto* status = std::get_if<status_reply>(&command)) {
      state.status.on_reply(std::move(*status));
    } else if (auto* addresses = std::get_if<peer_addresses>(&command)) {
      on_addresses(std::move(*addresses));
    }
  }

  void on_addresses(peer_addresses&& addresses) {
    std::erase_if(links, [&](const auto& link) {
      return !addresses.all.contains(link.first);
    });
    for (const auto& [id, address] : addresses.all) {
      auto& link = links[id];
      if (link) {
        link->set_address(address);
      } else {
        link = std::make_unique<peer_link>(io, address);
      }
    }
    state.peers = std::move(addresses);
  }

  kj::AsyncIoContext io;
  peer_service_state state;
  peer_rpc_server server;
  std::map<balancer_id, std::unique_ptr<peer_link>> links;
};

peer_rpc_thread::peer_rpc_thread(int listener, thread_rings& shared_rings)
    : listener_(listener),
      wake_descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      rings_(shared_rings) {
  if (wake_descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  rings_.data_to_rpc.on_push([this] { wake(); });
}

peer_rpc_thread::~peer_rpc_thread() { close(wake_descriptor_); }

void peer_rpc_thread::run() {
  loop_state event_loop(listener_, rings_);
  auto wake_stream =
      event_loop.io.lowLevelProvider->wrapInputFd(wake_descriptor_);
  while (!stopping_) {
    std::uint64_t count = 0;
    wake_stream->tryRead(&count, sizeof(count), sizeof(count))
        .wait(event_loop.io.waitScope);
    rings_.data_to_rpc.drain([&](rpc_command&& command) {
      event_loop.on_command(std::move(command));
    });
  }
}

void peer_rpc_thread::stop() {
  stopping_ = true;
  wake();
}

void peer_rpc_thread::wake() const {
  const std::uint64_t one = 1;
  // Fails only if the eventfd counter is at its maximum; then it is readable
  // and the thread wakes anyway.
  static_cast<void>(!write(wake_descriptor_, &one, sizeof(one)));
}

}  // namespace rosemarydrum
