#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The daemon's bound sockets.
struct listeners {
  boost::asio::ip::udp::socket data;
  boost::asio::ip::tcp::acceptor rpc;
  boost::asio::ip::tcp::acceptor metrics;
};

/// Returns a peer's RPC address. The configuration states only the data port;
/// the RPC port is the next one.
inline endpoint rpc_address(endpoint data) {
  ++data.port;
  return data;
}

/// Binds the three addresses. If the data port is 0, a port is chosen whose
/// successor is free for RPC. Throws boost::system::system_error.
listeners bind_listeners(boost::asio::io_context& data_context,
                         boost::asio::io_context& metrics_context,
                         const endpoint& data, const endpoint& rpc,
                         const endpoint& metrics);

}  // namespace rosemarydrum
