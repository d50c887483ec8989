#pragma once

#include <kj/async-io.h>

#include <deque>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The outgoing RPC connection to one peer: opened for the first message,
/// replaced when it fails or is silent, closed after 30 s without messages.
class peer_link final : private kj::TaskSet::ErrorHandler {
 public:
  peer_link(kj::AsyncIoContext& io, endpoint address);

  /// Queues an encoded message. At most 64 wait; the oldest is dropped. A
  /// message that was sent on a connection that failed is sent again, for 10 s
  /// at most.
  void send(bytes encoded);
  /// Changes the address; an open connection is replaced.
  void set_address(endpoint address);
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct connection;

  struct queued_message {
    bytes encoded;
    kj::TimePoint queued;
  };

  kj::Own<kj::TaskSet> new_tasks();
  void open();
  kj::Promise<void> run(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> heartbeat(connection& on);
  /// Sends what waits, at most 4 messages at a time.
  void pump(connection& on);
  void on_answered(connection& on, std::uint64_t call);
  /// Queues what the connection has not brought across.
  void on_closed(connection& closed);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io_;
  endpoint address_;
  std::deque<queued_message> waiting_;
  std::uint64_t dropped_ = 0;
  kj::TimePoint last_message_;
  connection* open_ = nullptr;
  bool opening_ = false;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace rosemarydrum
