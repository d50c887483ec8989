#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "daemon/thread_rings.h"
#include "io/http_server.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Serves /metrics, /healthz and /readyz over HTTP and writes events to the
/// log.
class metrics_thread {
 public:
  metrics_thread(boost::asio::io_context& context,
                 boost::asio::ip::tcp::acceptor acceptor,
                 thread_rings& shared_rings);

  void start();
  /// Handles the queued events and snapshots. Call from outside only after the
  /// thread has ended, to write the remaining events to the log.
  void drain();

  /// Returns the response to GET `target`.
  http_response answer(std::string_view target) const;

 private:
  boost::asio::io_context& context_;
  http_server server_;
  thread_rings& rings_;
  metrics_snapshot latest_;
  /// Time at which the latest snapshot was received; the data thread publishes
  /// one every 200 ms.
  time_point latest_at_;
};

}  // namespace rosemarydrum
