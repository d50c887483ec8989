#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>

#include "io/addresses.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::standins {

/// Polls a balancer's /readyz every 100 ms. The last answer decides whether it
/// is healthy; no answer within 300 ms counts as unhealthy.
class health_probe {
 public:
  health_probe(boost::asio::io_context& context, endpoint target)
      : context_(context), target_(target), timer_(context) {
    start_probe();
  }

  bool healthy() const { return healthy_; }

 private:
  static constexpr milliseconds interval{100};
  static constexpr milliseconds answer_timeout{300};

  struct call {
    explicit call(boost::asio::io_context& context) : stream(context) {}
    boost::beast::tcp_stream stream;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    boost::beast::flat_buffer buffer;
    boost::beast::http::response<boost::beast::http::string_body> response;
  };

  void start_probe() {
    auto c = std::make_shared<call>(context_);
    c->request = {boost::beast::http::verb::get, "/readyz", 11};
    c->request.set(boost::beast::http::field::host, "balancer");
    c->request.keep_alive(false);
    c->stream.expires_after(answer_timeout);
    c->stream.async_connect(to_tcp(target_),
                            [this, c](const boost::system::error_code& error) {
                              error ? finish_probe(false) : send(c);
                            });
  }

  void send(const std::shared_ptr<call>& c) {
    boost::beast::http::async_write(
        c->stream, c->request,
        [this, c](const boost::system::error_code& error, std::size_t) {
          error ? finish_probe(false) : receive(c);
        });
  }

  void receive(const std::shared_ptr<call>& c) {
    boost::beast::http::async_read(
        c->stream, c->buffer, c->response,
        [this, c](const boost::system::error_code& error, std::size_t) {
          finish_probe(!error && c->response.result_int() == 200);
        });
  }

  void finish_probe(bool healthy) {
    healthy_ = healthy;
    timer_.expires_after(interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        start_probe();
      }
    });
  }

  boost::asio::io_context& context_;
  endpoint target_;
  boost::asio::basic_waitable_timer<runtime_clock> timer_;
  bool healthy_ = false;
};

}  // namespace rosemarydrum::standins
