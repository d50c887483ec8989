#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "daemon/message_rate.h"
#include "daemon/thread_rings.h"
#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Owns the balancer core. Receives and sends its datagrams, and runs its
/// timer.
class data_thread {
 public:
  /// `socket` is bound and non-blocking. `finished` is called on this thread
  /// when a graceful shutdown is complete.
  data_thread(boost::asio::io_context& context,
              boost::asio::ip::udp::socket socket, balancer_settings settings,
              std::vector<endpoint> fabric, thread_rings& shared_rings,
              std::function<void()> finished);

  /// Starts receiving datagrams and starts the timer, both on the context.
  void start();
  /// Starts the graceful shutdown. Call on this thread.
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
  void on_rpc_event(rpc_event&& event);
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
  thread_rings& rings_;
  std::function<void()> finished_;
  balancer core_;
  balancer_output out_;
  bytes buffer_;
  boost::asio::basic_waitable_timer<runtime_clock> timer_;
  time_point next_tick_;
  time_point next_publish_;
  metrics_snapshot metrics_;
  /// Revision of the configuration that `peers_` reflects.
  revision peers_revision_{};
  std::map<endpoint, peer_state> peers_;
  peer_addresses addresses_;
  /// False while `addresses_` is to be sent to the peer RPC thread.
  bool addresses_sent_ = false;
  bool stopped_ = false;
};

}  // namespace rosemarydrum
