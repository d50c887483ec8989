#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

#include "forwarder/forwarder_rings.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

/// The thread that takes callers' packets and sends them on.
class data_loop {
 public:
  /// `socket` is bound and non-blocking; callers take packets at its port.
  data_loop(boost::asio::io_context& context,
            boost::asio::ip::udp::socket socket, const flow_codec& codec,
            forwarder_settings settings, forwarder_rings& joined);

  void start();

 private:
  void wait_readable();
  void receive_batch();
  void on_datagram(std::size_t size, time_point now);
  void carry_out(const packet_verdict& verdict, std::size_t size);
  void repeat_openings(time_point now);
  void wait_tick();
  void tick(time_point now);
  void take_updates();

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  const flow_codec& codec_;
  forwarder core_;
  forwarder_rings& rings_;
  runtime_timer timer_;
  time_point last_wake_;
  time_point next_sweep_;
  bool told_unable_ = false;
  std::vector<std::uint8_t> buffer_;
  std::uint16_t caller_port_;
};

}  // namespace rosemarydrum
