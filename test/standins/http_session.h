#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace rosemarydrum::standins {

namespace http = boost::beast::http;

/// The server side of an HTTP/1.1 connection. Passes each request to the
/// handler, which calls `answer` or `drop` at once or later.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  using request = http::request<http::string_body>;
  using handler = std::function<void(std::shared_ptr<http_session>, request)>;

  http_session(boost::asio::ip::tcp::socket socket, handler handle)
      : socket_(std::move(socket)), handle_(std::move(handle)) {}

  void read() {
    parser_.emplace();
    parser_->body_limit(max_request_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](
                         const boost::system::error_code& error, std::size_t) {
                       if (error) {
                         self->drop();
                       } else if (!self->silent_) {
                         self->handle_(self, self->parser_->release());
                       }
                     });
  }

  void answer(unsigned status, std::string body) {
    if (silent_ || !socket_.is_open()) {
      return;
    }
    response_ = {static_cast<http::status>(status), 11};
    response_.set(http::field::content_type, "application/json");
    response_.body() = std::move(body);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        if (error) {
                          self->drop();
                        } else {
                          self->read();
                        }
                      });
  }

  void drop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  /// Stops sending and leaves the connection open.
  void stop_sending() { silent_ = true; }

 private:
  // Admits a document of 1 MB as a JSON string with every byte escaped.
  static constexpr std::uint64_t max_request_bytes = 8'000'000;

  boost::asio::ip::tcp::socket socket_;
  handler handle_;
  bool silent_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

}  // namespace rosemarydrum::standins
