#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

#include "forwarder/control_loop.h"
#include "forwarder/data_loop.h"
#include "forwarder/forwarder_platform.h"
#include "forwarder/settings_source.h"
#include "io/http_server.h"
#include "io/runtime_timer.h"
#include "log/log_writer.h"
#include "rosemarydrum/events/logical_clock.h"

namespace rosemarydrum {

/// Runs a forwarder with three threads that communicate through bounded rings:
/// one forwards packets, one maintains the known state and one writes the log.
class forwarder_daemon {
 public:
  /// Binds all addresses. Throws boost::system::system_error if one is in use.
  forwarder_daemon(const forwarder_platform& platform, settings_source& source,
                   forwarder_options options);

  /// Returns after a planned stop.
  void run();

 private:
  void wait_signal();
  void wait_reload();
  void reload(std::string_view cause);
  void stop();
  void wait_stopped();
  void write_log();
  void log_start(time_point now);

  settings_source& source_;
  forwarder_options options_;
  boost::asio::io_context data_io_{1};
  boost::asio::io_context control_io_{1};
  boost::asio::io_context log_io_{1};
  forwarder_rings rings_;
  logical_clock clock_;
  log_writer writer_;
  std::unique_ptr<kv_store> store_;
  data_loop data_;
  control_loop control_;
  http_server ready_;
  std::unique_ptr<http_server> metrics_;
  boost::asio::signal_set signals_;
  runtime_timer reload_timer_;
  runtime_timer stop_timer_;
  runtime_timer log_timer_;
  time_point stop_began_;
  std::uint64_t packets_seen_ = 0;
  bool stopping_ = false;
};

}  // namespace rosemarydrum
