#include "io/http_server.h"

#include "io/http_session.h"

namespace rosemarydrum {
namespace {

constexpr int max_open_sessions = 32;

}  // namespace

http_server::http_server(boost::asio::ip::tcp::acceptor acceptor,
                         handler handle)
    : acceptor_(std::move(acceptor)), handle_(std::move(handle)) {}

void http_server::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void http_server::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error && *open_sessions_ < max_open_sessions) {
      std::make_shared<http_session>(std::move(socket), open_sessions_, handle_)
          ->start();
    }
    accept();
  });
}

}  // namespace rosemarydrum
