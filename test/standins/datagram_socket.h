#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

#include "io/addresses.h"
#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum::standins {

/// A UDP socket that passes each received datagram to a function.
class datagram_socket {
 public:
  using receiver = std::function<void(const endpoint&, bytes_view)>;

  datagram_socket(boost::asio::io_context& context, const endpoint& local,
                  receiver receive)
      : socket_(context, to_udp(local)),
        receive_(std::move(receive)),
        buffer_(2048) {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(4 << 20),
                       ignored);
    wait();
  }

  endpoint local() const { return from_asio(socket_.local_endpoint()); }

  /// Drops a datagram that cannot be sent.
  void send(const endpoint& to, const bytes& datagram) {
    boost::system::error_code lost;
    socket_.send_to(boost::asio::buffer(datagram), to_udp(to), 0, lost);
  }

 private:
  void wait() {
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), from_,
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error == boost::asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            receive_(from_asio(from_), bytes_view(buffer_).first(size));
          }
          wait();
        });
  }

  boost::asio::ip::udp::socket socket_;
  receiver receive_;
  bytes buffer_;
  boost::asio::ip::udp::endpoint from_;
};

}  // namespace rosemarydrum::standins
