#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "io/runtime_timer.h"
#include "rosemarydrum/error_kind.h"

namespace rosemarydrum {

struct http_call {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target;
  std::string body;
  /// From when the call is first on its connection to the whole answer.
  duration deadline = seconds(3);
};

struct http_answer {
  /// none, store_unavailable or timed_out.
  error_kind error = error_kind::none;
  /// False: the call certainly has not reached the server.
  bool sent = false;
  unsigned status = 0;
  std::string body;
};

/// One HTTP/1.1 connection, opened on demand; calls are made one after the
/// other. A connection that misses a deadline is closed, and the next call
/// opens a new one. Used on the thread of its io_context.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  using callback = std::function<void(const http_answer&)>;
  using endpoint_type = boost::asio::ip::tcp::endpoint;

  http_connection(boost::asio::io_context& io, endpoint_type server);

  void call(http_call wanted, callback done);
  /// Drops all calls without an answer.
  void close();

 private:
  struct waiting_call {
    http_call wanted;
    callback done;
  };

  /// What operations in progress refer to; lives until they have ended.
  struct channel {
    explicit channel(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::tcp::socket socket;
    boost::beast::http::request<boost::beast::http::string_body> request;
    std::optional<
        boost::beast::http::response_parser<boost::beast::http::string_body>>
        parser;
    boost::beast::flat_buffer buffer;
  };

  void start();
  void connect(std::uint64_t number);
  void write(std::uint64_t number);
  void read(std::uint64_t number);
  void finish(std::uint64_t number, const http_answer& answer);
  void fail(std::uint64_t number);
  void disconnect();

  boost::asio::io_context& io_;
  endpoint_type server_;
  std::shared_ptr<channel> channel_;
  runtime_timer deadline_;
  runtime_timer connect_timer_;
  time_point last_used_;
  bool busy_ = false;
  bool sent_ = false;
  bool timed_out_ = false;
  /// Counts calls; handlers of earlier ones do nothing.
  std::uint64_t number_ = 0;
  std::deque<waiting_call> calls_;
};

}  // namespace rosemarydrum
