#include "daemon/store_poller.h"

#include <utility>

#include "daemon/store_answer.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds poll_wait{1000};
// Longer than a poll and its round trip, and short enough to detect a dead
// connection within the 3 s in which a change must take effect.
constexpr seconds poll_deadline{2};
constexpr seconds poll_retry_delay{1};

}  // namespace

store_poller::store_poller(boost::asio::io_context& io,
                           boost::asio::ip::tcp::endpoint server,
                           std::string prefix, revision after,
                           callback on_change)
    : connection_(std::make_shared<http_connection>(io, std::move(server))),
      retry_timer_(io),
      prefix_(std::move(prefix)),
      after_(after),
      on_change_(std::move(on_change)) {}

void store_poller::poll() {
  const auto target = range_target("/v1/watch", prefix_, after_) +
                      "&wait_ms=" + std::to_string(poll_wait.count());
  connection_->call({boost::beast::http::verb::get, target, {}, poll_deadline},
                    [weak = weak_from_this()](const http_answer& answer) {
                      if (const auto self = weak.lock()) {
                        self->on_answer(answer);
                      }
                    });
}

void store_poller::stop() {
  stopped_ = true;
  retry_timer_.cancel();
  connection_->close();
}

void store_poller::on_answer(const http_answer& answer) {
  bool more = false;
  const auto listing = listing_of(answer, after_, more);
  after_ = listing.last;
  on_change_(listing);
  if (stopped_) {
    return;
  }
  if (listing.error == error_kind::none ||
      listing.error == error_kind::timed_out) {
    poll();
    return;
  }
  retry_timer_.expires_at(runtime_clock::now() + poll_retry_delay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->stopped_) {
          self->poll();
        }
      });
}

}  // namespace rosemarydrum
