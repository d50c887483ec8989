#include "io/http_session.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace rosemarydrum {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::seconds request_timeout{5};
constexpr std::uint32_t max_header_bytes = 8192;

}  // namespace

http_session::http_session(boost::asio::ip::tcp::socket socket,
                           std::shared_ptr<int> open_sessions,
                           http_server::handler handle)
    : stream_(std::move(socket)),
      open_sessions_(std::move(open_sessions)),
      handle_(std::move(handle)) {
  ++*open_sessions_;
}

http_session::~http_session() { --*open_sessions_; }

void http_session::read() {
  parser_.emplace();
  parser_->header_limit(max_header_bytes);
  parser_->body_limit(0);
  stream_.expires_after(request_timeout);
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](
                       const boost::system::error_code& error, std::size_t) {
                     if (!error) {
                       self->write();
                     }
                   });
}

void http_session::write() {
  const auto& request = parser_->get();
  const auto target = request.target();
  const auto response = request.method() == http::verb::get
                            ? handle_({target.data(), target.size()})
                            : http_response{405, "only GET is allowed\n"};
  response_ = {};
  response_.version(request.version());
  response_.result(response.status);
  response_.set(http::field::content_type,
                {response.type.data(), response.type.size()});
  response_.keep_alive(request.keep_alive());
  response_.body() = response.text;
  response_.prepare_payload();
  http::async_write(stream_, response_,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      if (!error && self->response_.keep_alive()) {
                        self->read();
                      }
                    });
}

}  // namespace rosemarydrum
