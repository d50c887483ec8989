#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "soak/live_timeline.h"

namespace rosemarydrum {

enum class link_fault : std::uint8_t {
  none,
  /// Each part waits for the proxy's delay.
  delayed,
  /// Connections are reset, open ones and new ones.
  reset,
  /// Nothing passes in either direction; connections stay open.
  silent,
  /// What the client sends passes; answers do not.
  one_way,
};

/// A loopback proxy for TCP connections to one server, with faults.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& io, live_timeline& time,
              boost::asio::ip::tcp::endpoint server);

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  void set(link_fault fault);
  /// Connections that are open now stay silent for good; new ones work.
  void silence_open_connections();

  duration delay = milliseconds(250);

 private:
  class connection;

  void accept();

  boost::asio::io_context& io_;
  live_timeline& time_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  link_fault fault_ = link_fault::none;
  std::list<std::weak_ptr<connection>> connections_;
};

}  // namespace rosemarydrum
