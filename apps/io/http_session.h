#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "io/http_server.h"

namespace rosemarydrum {

/// A server-side HTTP connection: GET only, at most 8 KiB of header, and 5 s to
/// receive each request and send its response.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  /// `open_sessions` counts the open sessions, this one included until its
  /// destruction.
  http_session(boost::asio::ip::tcp::socket socket,
               std::shared_ptr<int> open_sessions, http_server::handler handle);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  void start() { read(); }

 private:
  void read();
  void write();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<int> open_sessions_;
  http_server::handler handle_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::empty_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
};

}  // namespace rosemarydrum
