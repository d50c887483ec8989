#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarydrum {

/// An HTTP response: status code, body and content type.
struct http_response {
  unsigned status = 200;
  std::string text;
  std::string_view type = "text/plain; version=0.0.4";
};

/// Answers GET requests on the thread of its acceptor's context. Closes new
/// connections while 32 are open.
class http_server {
 public:
  /// Returns the response to GET `target`.
  using handler = std::function<http_response(std::string_view target)>;

  http_server(boost::asio::ip::tcp::acceptor acceptor, handler handle);

  void start() { accept(); }
  /// Accepts no further connections; open ones continue.
  void stop();

 private:
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  handler handle_;
  std::shared_ptr<int> open_sessions_ = std::make_shared<int>(0);
};

}  // namespace rosemarydrum
