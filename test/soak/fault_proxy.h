#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

#include "soak/live_timeline.h"

namespace rosemarydrum {

enum class link_fault : std::uint8_t {
  none,
  /// Each piece of data is delayed by the proxy's delay.
  delayed,
  /// Open and new connections are reset.
  reset,
  /// No data passes in either direction; connections stay open.
  silent,
  /// Data from the client passes; answers do not.
  one_way,
};

/// A loopback TCP proxy to one server that injects faults.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& io, live_timeline& time,
              boost::asio::ip::tcp::endpoint server);

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  void set(link_fault fault);
  /// Permanently stops data on the open connections; new ones work.
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
