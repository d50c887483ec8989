#pragma once

#include <kj/async-io.h>

#include "daemon/peer_service.h"

namespace rosemarydrum {

/// Accepts at most 256 concurrent RPC connections and closes those on which no
/// call arrives for connection_deadline.
class peer_rpc_server final : private kj::TaskSet::ErrorHandler {
 public:
  peer_rpc_server(kj::Own<kj::ConnectionReceiver> listener,
                  peer_service_state& state);

 private:
  struct connection;

  kj::Promise<void> accept();
  void serve(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> until_silent(
      const std::shared_ptr<kj::TimePoint>& last_heard);
  void taskFailed(kj::Exception&& exception) override;

  kj::Own<kj::ConnectionReceiver> listener_;
  peer_service_state& state_;
  std::size_t connections_ = 0;
  kj::TaskSet tasks_;
};

}  // namespace rosemarydrum
