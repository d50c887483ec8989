#include "io/http_connection.h"

#include <boost/asio/post.hpp>

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t max_waiting_calls = 64;
// A page of a listing has at most 4 MB of documents (docs/store-protocol.md);
// JSON escapes can double that.
constexpr std::uint64_t max_answer_bytes = 16'000'000;
// An idle connection may have gone silent. After the heartbeat interval it is
// replaced rather than tried, because a try costs a deadline.
constexpr seconds longest_idle{1};
// The opening packet of a connection may be dropped, and the system sends it
// again after a second or more; another connection is opened before that.
constexpr milliseconds connect_timeout{300};

}  // namespace

http_connection::http_connection(asio::io_context& io, endpoint_type server)
    : io_(io), server_(std::move(server)), deadline_(io), connect_timer_(io) {}

void http_connection::call(http_call wanted, callback done) {
  if (calls_.size() >= max_waiting_calls) {
    asio::post(io_, [done = std::move(done)] {
      done({error_kind::store_unavailable, false, 0, {}});
    });
    return;
  }
  calls_.push_back({std::move(wanted), std::move(done)});
  if (!busy_) {
    start();
  }
}

void http_connection::close() {
  ++number_;
  busy_ = false;
  calls_.clear();
  deadline_.cancel();
  disconnect();
}

void http_connection::disconnect() {
  connect_timer_.cancel();
  if (channel_) {
    boost::system::error_code ignored;
    channel_->socket.close(ignored);
    channel_.reset();
  }
}

void http_connection::start() {
  busy_ = true;
  sent_ = timed_out_ = false;
  const auto number = ++number_;
  const auto now = runtime_clock::now();
  deadline_.expires_at(now + calls_.front().wanted.deadline);
  deadline_.async_wait([weak = weak_from_this(),
                        number](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (self && !error && number == self->number_) {
      self->timed_out_ = true;
      self->fail(number);
    }
  });
  if (channel_ && now - last_used_ < longest_idle) {
    write(number);
    return;
  }
  connect(number);
}

void http_connection::connect(std::uint64_t number) {
  disconnect();
  channel_ = std::make_shared<channel>(io_);
  connect_timer_.expires_after(connect_timeout);
  connect_timer_.async_wait(
      [weak = weak_from_this(), number,
       used = std::weak_ptr(channel_)](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && number == self->number_ &&
            self->channel_ == used.lock()) {
          self->connect(number);
        }
      });
  channel_->socket.async_connect(
      server_, [self = shared_from_this(), used = channel_,
                number](const boost::system::error_code& error) {
        if (number != self->number_ || used != self->channel_) {
          return;
        }
        self->connect_timer_.cancel();
        if (error) {
          self->fail(number);
          return;
        }
        boost::system::error_code ignored;
        used->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write(number);
      });
}

void http_connection::write(std::uint64_t number) {
  const auto& wanted = calls_.front().wanted;
  auto& request = channel_->request;
  request = {wanted.method, wanted.target, 11};
  request.set(http::field::host, server_.address().to_string());
  if (!wanted.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = wanted.body;
  }
  request.prepare_payload();
  sent_ = true;
  http::async_write(channel_->socket, request,
                    [self = shared_from_this(), used = channel_, number](
                        const boost::system::error_code& error, std::size_t) {
                      if (number != self->number_) {
                        return;
                      }
                      if (error) {
                        self->fail(number);
                      } else {
                        self->read(number);
                      }
                    });
}

void http_connection::read(std::uint64_t number) {
  auto& parser = channel_->parser;
  parser.emplace();
  parser->body_limit(max_answer_bytes);
  http::async_read(channel_->socket, channel_->buffer, *parser,
                   [self = shared_from_this(), used = channel_, number](
                       const boost::system::error_code& error, std::size_t) {
                     if (number != self->number_) {
                       return;
                     }
                     if (error) {
                       self->fail(number);
                       return;
                     }
                     auto response = used->parser->release();
                     if (!response.keep_alive()) {
                       self->disconnect();
                     }
                     self->finish(
                         number, {error_kind::none, true, response.result_int(),
                                  std::move(response.body())});
                   });
}

void http_connection::fail(std::uint64_t number) {
  disconnect();
  finish(number,
         {timed_out_ ? error_kind::timed_out : error_kind::store_unavailable,
          sent_,
          0,
          {}});
}

void http_connection::finish(std::uint64_t number, const http_answer& answer) {
  deadline_.cancel();
  last_used_ = runtime_clock::now();
  const auto done = std::move(calls_.front().done);
  calls_.pop_front();
  // The callback may close the connection or make calls.
  const auto self = shared_from_this();
  ++number_;
  done(answer);
  if (number_ == number + 1) {
    busy_ = false;
    if (!calls_.empty()) {
      start();
    }
  }
}

}  // namespace rosemarydrum
