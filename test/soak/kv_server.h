#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "fleet/fake_kv_store.h"
#include "soak/live_timeline.h"

namespace rosemarydrum {

/// Serves the platform's store protocol over HTTP to separate processes.
class kv_server {
 public:
  kv_server(boost::asio::io_context& io, fake_kv_store& store,
            live_timeline& time);

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }

 private:
  void accept();

  fake_kv_store& store_;
  live_timeline& time_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace rosemarydrum
