#pragma once

#include <kj/async-io.h>

#include <deque>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The outgoing RPC connection to one peer. It is opened for the first message,
/// replaced when it fails or the peer stops responding, and closed after 30 s
/// without messages.
class peer_link final : private kj::TaskSet::ErrorHandler {
 public:
  peer_link(kj::AsyncIoContext& io, endpoint address);

  /// Queues an encoded message. The queue holds 64; when it is full, the oldest
  /// is dropped. A message without a response is sent again after its
  /// connection failed, unless it is older than 10 s.
  void send(bytes encoded);
  /// Changes the peer's address and closes a connection to the old one.
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
  kj::Promise<void> heartbeat(connection& active);
  /// Sends queued messages while fewer than 4 calls are in flight.
  void send_queued(connection& active);
  void on_answered(connection& active, std::uint64_t call);
  /// Queues the messages again whose calls were in flight.
  void on_closed(connection& closed);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io_;
  endpoint address_;
  std::deque<queued_message> queue_;
  std::uint64_t dropped_ = 0;
  kj::TimePoint last_message_;
  /// The open connection, or null.
  connection* current_ = nullptr;
  /// True while connecting and during the delay before reconnecting.
  bool connect_pending_ = false;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace rosemarydrum
