#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

#include "daemon/thread_rings.h"
#include "rosemarydrum/configuration/config_store.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Watches the configuration store while the data thread requests it, and sends
/// changes and the store's reachability to the data thread.
class store_thread {
 public:
  /// `store` must call back on the thread of `context`.
  store_thread(boost::asio::io_context& context, config_store& store,
               thread_rings& shared_rings);

  void start();

 private:
  void update_watch();
  void begin_watch(revision after);
  void end_watch();
  void on_listing(const store_listing& listing);

  config_store& store_;
  thread_rings& rings_;
  boost::asio::basic_waitable_timer<runtime_clock> timer_;
  std::optional<watch_id> watch_;
  /// The revision up to which changes were sent to the data thread.
  revision delivered_revision_{};
  std::optional<bool> reachable_;
  bool restart_pending_ = false;
};

}  // namespace rosemarydrum
