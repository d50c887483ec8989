#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "daemon/message_rate.h"
#include "daemon/rings.h"
#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// The thread that owns the balancer core: its datagrams and its timer.
class data_thread {
 public:
  /// `socket` is bound and non-blocking. `finished` is called in this thread
  /// once a shutdown is complete.
  data_thread(boost::asio::io_context& context,
              boost::asio::ip::udp::socket socket, balancer_settings settings,
              std::vector<endpoint> fabric, rings& joined,
              std::function<void()> finished);

  /// Starts the receiving and the timer on the context.
  void start();
  /// Starts the graceful shutdown. Call in this thread.
  void shut_down();

 private:
  struct peer_state {
    balancer_id id{};
    message_rate rate;
  };

  void wait_readable();
  void receive_batch();
  void dispatch(const endpoint& from, bytes_view datagram);
  void on_peer_datagram(peer_state& peer, const endpoint& from,
                        bytes_view datagram, time_point now);
  void wait_tick();
  void tick(time_point due);
  void drain_rpc();
  void drain_store();
  void answer(rpc_event&& event);
  void flush();
  void send_peer(const peer_datagram& to);
  void send(const endpoint& to, const bytes& datagram);
  void update_peers();
  void send_addresses();
  void publish();

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  balancer_settings settings_;
  std::vector<endpoint> fabric_;
  rings& rings_;
  std::function<void()> finished_;
  balancer core_;
  balancer_output out_;
  bytes buffer_;
  boost::asio::basic_waitable_timer<runtime_clock> timer_;
  time_point next_tick_;
  time_point next_publish_;
  metrics_snapshot metrics_;
  revision peers_of_{};
  std::map<endpoint, peer_state> peers_;
  peer_addresses addresses_;
  bool peers_sent_ = false;
  bool done_ = false;
};

}  // namespace rosemarydrum
