#include "io/http_connection.h"

#include <boost/asio/post.hpp>

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t max_queued_calls = 64;
// A page of a listing holds at most 4 MB of documents
// (docs/store-protocol.md); JSON escapes can double its size.
constexpr std::uint64_t max_response_bytes = 16'000'000;
// The peer of an idle connection may have become unreachable. A connection that
// was idle for the heartbeat interval is replaced, because a call on a dead one
// fails only at its deadline.
constexpr seconds max_idle_time{1};
// The kernel retransmits a lost SYN only after 1 s or more, so a new connection
// is attempted before that.
constexpr milliseconds connect_timeout{300};

}  // namespace

http_connection::http_connection(asio::io_context& io, endpoint_type server)
    : io_(io), server_(std::move(server)), deadline_(io), connect_timer_(io) {}

void http_connection::call(http_call new_call, callback done) {
  if (calls_.size() >= max_queued_calls) {
    asio::post(io_, [done = std::move(done)] {
      done({error_kind::store_unavailable, false, 0, {}, {}});
    });
    return;
  }
  calls_.push_back({std::move(new_call), std::move(done)});
  if (!call_in_progress_) {
    start();
  }
}

void http_connection::close() {
  ++call_number_;
  call_in_progress_ = false;
  calls_.clear();
  deadline_.cancel();
  disconnect();
}

void http_connection::disconnect() {
  connect_timer_.cancel();
  if (state_) {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
    state_.reset();
  }
}

bool http_connection::has_stray_bytes() const {
  boost::system::error_code error;
  const auto unread = state_->socket.available(error);
  return error || unread > 0 || state_->buffer.size() > 0;
}

void http_connection::start() {
  call_in_progress_ = true;
  sent_ = timed_out_ = false;
  const auto call_number = ++call_number_;
  const auto now = runtime_clock::now();
  deadline_.expires_at(now + calls_.front().call.deadline);
  deadline_.async_wait([weak = weak_from_this(),
                        call_number](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (self && !error && call_number == self->call_number_) {
      self->timed_out_ = true;
      self->fail(call_number);
    }
  });
  if (state_ && now - last_used_ < max_idle_time && !has_stray_bytes()) {
    write(call_number);
    return;
  }
  connect(call_number);
}

void http_connection::connect(std::uint64_t call_number) {
  disconnect();
  state_ = std::make_shared<connection_state>(io_);
  connect_timer_.expires_after(connect_timeout);
  connect_timer_.async_wait(
      [weak = weak_from_this(), call_number,
       used = std::weak_ptr(state_)](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && call_number == self->call_number_ &&
            self->state_ == used.lock()) {
          self->connect(call_number);
        }
      });
  state_->socket.async_connect(
      server_, [self = shared_from_this(), used = state_,
                call_number](const boost::system::error_code& error) {
        if (call_number != self->call_number_ || used != self->state_) {
          return;
        }
        self->connect_timer_.cancel();
        if (error) {
          self->fail(call_number);
          return;
        }
        boost::system::error_code ignored;
        used->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write(call_number);
      });
}

void http_connection::write(std::uint64_t call_number) {
  const auto& current = calls_.front().call;
  auto& request = state_->request;
  request = {current.method, current.target, 11};
  request.set(http::field::host, server_.address().to_string());
  if (!current.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = current.body;
  }
  request.prepare_payload();
  sent_ = true;
  http::async_write(state_->socket, request,
                    [self = shared_from_this(), used = state_, call_number](
                        const boost::system::error_code& error, std::size_t) {
                      if (call_number != self->call_number_) {
                        return;
                      }
                      if (error) {
                        self->fail(call_number);
                      } else {
                        self->read(call_number);
                      }
                    });
}

void http_connection::read(std::uint64_t call_number) {
  auto& parser = state_->parser;
  parser.emplace();
  parser->body_limit(max_response_bytes);
  http::async_read(state_->socket, state_->buffer, *parser,
                   [self = shared_from_this(), used = state_, call_number](
                       const boost::system::error_code& error, std::size_t) {
                     if (call_number != self->call_number_) {
                       return;
                     }
                     if (error) {
                       self->fail(call_number);
                       return;
                     }
                     auto response = used->parser->release();
                     if (!response.keep_alive()) {
                       self->disconnect();
                     }
                     const auto status = response.result_int();
                     auto body = std::move(response.body());
                     self->finish(call_number, {error_kind::none, true, status,
                                                std::move(body),
                                                std::move(response.base())});
                   });
}

void http_connection::fail(std::uint64_t call_number) {
  disconnect();
  finish(call_number,
         {timed_out_ ? error_kind::timed_out : error_kind::store_unavailable,
          sent_,
          0,
          {},
          {}});
}

void http_connection::finish(std::uint64_t call_number,
                             const http_answer& answer) {
  deadline_.cancel();
  last_used_ = runtime_clock::now();
  const auto done = std::move(calls_.front().done);
  calls_.pop_front();
  // The callback may call `close` or `call`; `close` changes `call_number_`,
  // and then the next call is not started here.
  const auto self = shared_from_this();
  ++call_number_;
  done(answer);
  if (call_number_ == call_number + 1) {
    call_in_progress_ = false;
    if (!calls_.empty()) {
      start();
    }
  }
}

}  // namespace rosemarydrum
