#pragma once

#include <atomic>

#include "daemon/thread_rings.h"

namespace rosemarydrum {

/// Runs the kj event loop, which carries large peer messages and operators'
/// calls.
class peer_rpc_thread {
 public:
  /// Takes ownership of `listener`, a listening TCP socket.
  peer_rpc_thread(int listener, thread_rings& shared_rings);
  ~peer_rpc_thread();
  peer_rpc_thread(const peer_rpc_thread&) = delete;
  peer_rpc_thread& operator=(const peer_rpc_thread&) = delete;

  /// Runs the event loop until `stop` is called.
  void run();
  /// May be called on any thread.
  void stop();

 private:
  struct loop_state;

  void wake() const;

  int listener_;
  int wake_descriptor_;
  thread_rings& rings_;
  std::atomic<bool> stopping_{false};
};

}  // namespace rosemarydrum
