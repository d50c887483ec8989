#include "daemon/listeners.h"

#include "io/addresses.h"

namespace rosemarydrum {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

// Even with a few hundred processes on one machine most ports are free, so a
// few attempts find one whose successor is free, too.
constexpr int max_port_attempts = 32;
// Holds bursts of a few hundred datagrams that arrive while the data thread is
// not scheduled.
constexpr int receive_buffer_bytes = 4 << 20;

struct data_and_rpc_sockets {
  udp::socket data;
  tcp::acceptor rpc;
};

data_and_rpc_sockets bind_data_and_rpc(boost::asio::io_context& context,
                                       const endpoint& data, endpoint rpc) {
  for (int attempt = 1;; ++attempt) {
    udp::socket socket(context, to_udp(data));
    if (rpc.port == 0) {
      rpc.port = static_cast<std::uint16_t>(socket.local_endpoint().port() + 1);
    }
    boost::system::error_code error;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(to_tcp(rpc), error);
    if (!error) {
      acceptor.listen();
      return {std::move(socket), std::move(acceptor)};
    }
    if (data.port != 0 || attempt == max_port_attempts) {
      throw boost::system::system_error(error, "bind of the RPC address");
    }
    rpc.port = 0;
  }
}

}  // namespace

listeners bind_listeners(boost::asio::io_context& data_context,
                         boost::asio::io_context& metrics_context,
                         const endpoint& data, const endpoint& rpc,
                         const endpoint& metrics) {
  auto [socket, acceptor] = bind_data_and_rpc(data_context, data, rpc);
  socket.non_blocking(true);
  boost::system::error_code ignored;
  socket.set_option(
      boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes),
      ignored);
  return {std::move(socket), std::move(acceptor),
          tcp::acceptor(metrics_context, to_tcp(metrics))};
}

}  // namespace rosemarydrum
