#pragma once

#include <memory>
#include <string>

#include "io/http_connection.h"
#include "rosemarydrum/configuration/config_store.h"

namespace rosemarydrum {

/// Implements one watch of an http_config_store by long-polling on its own
/// connection.
class store_poller : public std::enable_shared_from_this<store_poller> {
 public:
  using callback = config_store::callback<store_listing>;

  store_poller(boost::asio::io_context& io,
               boost::asio::ip::tcp::endpoint server, std::string prefix,
               revision after, callback on_change);

  void poll();
  void stop();

 private:
  void on_answer(const http_answer& answer);

  std::shared_ptr<http_connection> connection_;
  runtime_timer retry_timer_;
  std::string prefix_;
  revision after_;
  callback on_change_;
  bool stopped_ = false;
};

}  // namespace rosemarydrum
