#pragma once

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

inline boost::asio::ip::udp::endpoint to_udp(const endpoint& from) {
  return {boost::asio::ip::address_v4(from.address), from.port};
}

inline boost::asio::ip::tcp::endpoint to_tcp(const endpoint& from) {
  return {boost::asio::ip::address_v4(from.address), from.port};
}

/// Converts an Asio endpoint. Throws bad_address_cast unless it is IPv4.
template <typename Protocol>
endpoint from_asio(const boost::asio::ip::basic_endpoint<Protocol>& from) {
  return {from.address().to_v4().to_uint(), from.port()};
}

}  // namespace rosemarydrum
