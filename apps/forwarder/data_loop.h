#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

#include "forwarder/flow_journal.h"
#include "forwarder/forwarder_rings.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

/// Receives callers' packets on the data thread and forwards them.
class data_loop {
 public:
  /// `socket` must be bound and non-blocking. Resets go to the same port at
  /// the caller's address.
  data_loop(boost::asio::io_context& context,
            boost::asio::ip::udp::socket socket, const flow_codec& codec,
            forwarder_settings settings, forwarder_rings& rings,
            event_logger log);

  void start();
  /// Packets received so far; may be called from any thread.
  std::uint64_t packets_received() const {
    return packets_received_.load(std::memory_order_relaxed);
  }

 private:
  void wait_readable();
  void receive_batch();
  /// Returns false if no packet is waiting.
  bool receive_one(time_point now);
  void on_datagram(std::size_t size, time_point now);
  /// Applies the verdict to the packet of `size` bytes in the buffer.
  void apply_verdict(const packet_verdict& verdict, std::size_t size);
  void forward_packet(const packet_verdict& verdict, std::size_t size);
  void send_reset(std::size_t size);
  void send_due_packets(bool has_backlog, time_point now);
  void send_to_caller(const flow_ends& flow, const bytes& packet);
  void wait_tick();
  void tick(time_point now);
  void check_stall(time_point now);
  void take_update(control_update&& update);
  void report_news(time_point now);
  void report(time_point now);

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  const flow_codec& codec_;
  forwarder_rings& rings_;
  event_logger log_;
  data_metrics metrics_;
  flow_journal journal_;
  forwarder core_;
  runtime_timer timer_;
  time_point last_wake_;
  time_point next_sweep_;
  time_point next_report_;
  bool was_unable_ = false;
  /// Records of flows that did not fit into the ring.
  std::vector<flow_record> unsent_flows_;
  std::atomic<std::uint64_t> packets_received_{0};
  std::vector<std::uint8_t> buffer_;
  std::uint16_t caller_port_;
};

}  // namespace rosemarydrum
