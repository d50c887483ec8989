#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarydrum {

/// A status code and a text.
struct http_page {
  unsigned status = 200;
  std::string text;
  std::string_view type = "text/plain; version=0.0.4";
};

/// Answers GET requests on the thread of its acceptor's context.
class http_server {
 public:
  /// The answer to GET `target`.
  using handler = std::function<http_page(std::string_view target)>;

  http_server(boost::asio::ip::tcp::acceptor acceptor, handler handle);

  void start() { accept(); }
  /// Takes no further connections; those that are open go on.
  void stop();

 private:
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  handler handle_;
  std::shared_ptr<int> sessions_ = std::make_shared<int>(0);
};

}  // namespace rosemarydrum
