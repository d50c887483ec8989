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
  /// Time from the start of the call, after it has left the queue, until the
  /// response is complete.
  duration deadline = seconds(3);
};

struct http_answer {
  /// One of none, store_unavailable and timed_out.
  error_kind error = error_kind::none;
  /// False if no part of the request was sent, so that the server cannot have
  /// performed it.
  bool sent = false;
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields headers{};
};

/// An HTTP/1.1 client connection, opened on demand. Calls are queued and made
/// one at a time. A call that misses its deadline closes the connection, and
/// the next call opens a new one, as it does after bytes that belong to no
/// call, such as a second copy of an answer. Not thread-safe: used only on the
/// thread of its io_context.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  using callback = std::function<void(const http_answer&)>;
  using endpoint_type = boost::asio::ip::tcp::endpoint;

  http_connection(boost::asio::io_context& io, endpoint_type server);

  /// Fails with store_unavailable if too many calls are queued.
  void call(http_call new_call, callback done);
  /// Closes the connection and drops all calls without calling back.
  void close();

 private:
  struct queued_call {
    http_call call;
    callback done;
  };

  /// The buffers that asynchronous operations refer to. Each operation shares
  /// ownership, so that they outlive a disconnect.
  struct connection_state {
    explicit connection_state(boost::asio::io_context& io) : socket(io) {}
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
  bool has_stray_bytes() const;

  boost::asio::io_context& io_;
  endpoint_type server_;
  std::shared_ptr<connection_state> state_;
  runtime_timer deadline_;
  runtime_timer connect_timer_;
  time_point last_used_;
  bool call_in_progress_ = false;
  bool sent_ = false;
  bool timed_out_ = false;
  /// Identifies the current call; a handler with another number does nothing.
  std::uint64_t call_number_ = 0;
  std::deque<queued_call> calls_;
};

}  // namespace rosemarydrum
