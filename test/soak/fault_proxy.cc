#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/write.hpp>

namespace rosemarydrum {

using boost::asio::ip::tcp;

class fault_proxy::connection
    : public std::enable_shared_from_this<fault_proxy::connection> {
 public:
  connection(fault_proxy& owner, tcp::socket client)
      : owner_(owner), client_(std::move(client)), server_(owner.io_) {}

  void start() {
    server_.async_connect(
        owner_.server_, [self = shared_from_this()](const auto& error) {
          if (error) {
            self->reset();
            return;
          }
          self->pass(self->client_, self->server_, self->up_, false);
          self->pass(self->server_, self->client_, self->down_, true);
        });
  }

  void reset() {
    boost::system::error_code ignored;
    client_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
  }

  bool silent = false;

 private:
  using buffer = std::array<char, 16'384>;

  bool is_stopped(bool is_answer) const {
    return silent || owner_.fault_ == link_fault::silent ||
           (owner_.fault_ == link_fault::one_way && is_answer);
  }

  void pass(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_answer) {
    from.async_read_some(
        boost::asio::buffer(bytes),
        [self = shared_from_this(), &from, &to, &bytes, is_answer](
            const boost::system::error_code& error, std::size_t size) {
          if (error) {
            self->reset();
          } else if (self->is_stopped(is_answer)) {
            // Reads the data and discards it.
            self->pass(from, to, bytes, is_answer);
          } else if (self->owner_.fault_ == link_fault::delayed) {
            self->owner_.time_.after(
                self->owner_.delay,
                [self, &from, &to, &bytes, is_answer, size] {
                  self->write(from, to, bytes, is_answer, size);
                });
          } else {
            self->write(from, to, bytes, is_answer, size);
          }
        });
  }

  void write(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_answer,
             std::size_t size) {
    boost::asio::async_write(
        to, boost::asio::buffer(bytes.data(), size),
        [self = shared_from_this(), &from, &to, &bytes, is_answer](
            const boost::system::error_code& error, std::size_t) {
          if (error) {
            self->reset();
          } else {
            self->pass(from, to, bytes, is_answer);
          }
        });
  }

  fault_proxy& owner_;
  tcp::socket client_;
  tcp::socket server_;
  buffer up_{};
  buffer down_{};
};

fault_proxy::fault_proxy(boost::asio::io_context& io, live_timeline& time,
                         tcp::endpoint server)
    : io_(io),
      time_(time),
      server_(std::move(server)),
      acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
  accept();
}

void fault_proxy::set(link_fault fault) {
  fault_ = fault;
  if (fault == link_fault::reset) {
    for (const auto& each : connections_) {
      if (const auto open = each.lock()) {
        open->reset();
      }
    }
  }
}

void fault_proxy::silence_open_connections() {
  for (const auto& each : connections_) {
    if (const auto open = each.lock()) {
      open->silent = true;
    }
  }
}

void fault_proxy::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    connections_.remove_if([](const auto& each) { return each.expired(); });
    if (!error) {
      const auto open = std::make_shared<connection>(*this, std::move(socket));
      connections_.push_back(open);
      if (fault_ == link_fault::reset) {
        open->reset();
      } else {
        open->start();
      }
    }
    accept();
  });
}

}  // namespace rosemarydrum
