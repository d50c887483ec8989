#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

#include "io/bounded_ring.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/forwarding/forwarder.h"
#include "rosemarydrum/forwarding/store_follower.h"

namespace rosemarydrum {

/// The thread that takes callers' packets and sends them on.
class data_loop {
 public:
  data_loop(boost::asio::io_context& context,
            boost::asio::ip::udp::socket socket, const flow_codec& codec,
            forwarder_settings settings, bounded_ring<fleet_news>& news);
  void start();

 private:
  void wait_readable();
  void receive_batch();
  void on_datagram(std::size_t size, time_point now);
  void wait_tick();

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  const flow_codec& codec_;
  forwarder core_;
  bounded_ring<fleet_news>& news_;
  runtime_timer timer_;
  std::vector<std::uint8_t> buffer_;
  std::uint16_t caller_port_;
};

}  // namespace rosemarydrum
