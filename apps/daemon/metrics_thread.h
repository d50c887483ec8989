#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "daemon/rings.h"
#include "io/http_server.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// The thread that answers /metrics, /healthz and /readyz over HTTP and writes
/// the log.
class metrics_thread {
 public:
  metrics_thread(boost::asio::io_context& context,
                 boost::asio::ip::tcp::acceptor acceptor, rings& joined);

  void start();
  /// Writes what is left of the log. Call after the thread has ended.
  void drain();

  /// The answer to GET `target`.
  http_page answer(std::string_view target) const;

 private:
  boost::asio::io_context& context_;
  http_server server_;
  rings& rings_;
  metrics_snapshot latest_;
  /// When the data thread last published; it does so every 200 ms.
  time_point latest_at_;
};

}  // namespace rosemarydrum
