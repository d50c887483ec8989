#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

#include "daemon/rings.h"
#include "rosemarydrum/configuration/config_store.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Reads the configuration store while the data thread says that this balancer
/// is one of those that do, and tells the data thread what the store shows.
class store_thread {
 public:
  /// `store` calls back on the thread of `context`.
  store_thread(boost::asio::io_context& context, config_store& store,
               rings& joined);

  void start();

 private:
  void check();
  void begin(revision after);
  void end();
  void on_listing(const store_listing& listing);

  config_store& store_;
  rings& rings_;
  boost::asio::basic_waitable_timer<runtime_clock> timer_;
  std::optional<watch_id> watch_;
  /// What the data thread has been given.
  revision given_{};
  std::optional<bool> reachable_;
  bool restart_ = false;
};

}  // namespace rosemarydrum
