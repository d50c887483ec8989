#include "daemon/data_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "io/addresses.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds publish_interval{200};
// Bounds the delay of a tick while datagrams arrive continuously.
constexpr int datagrams_per_batch = 64;
constexpr std::size_t max_datagram = 2048;
constexpr std::size_t events_per_page = 1000;

/// Adds the time from its construction to its destruction to a histogram.
class scoped_timer {
 public:
  explicit scoped_timer(duration_histogram& histogram)
      : histogram_(histogram) {}
  ~scoped_timer() {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start_;
    histogram_.add(elapsed.count());
  }
  scoped_timer(const scoped_timer&) = delete;
  scoped_timer& operator=(const scoped_timer&) = delete;

 private:
  duration_histogram& histogram_;
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

}  // namespace

data_thread::data_thread(boost::asio::io_context& context,
                         boost::asio::ip::udp::socket socket,
                         balancer_settings settings,
                         std::vector<endpoint> fabric,
                         thread_rings& shared_rings,
                         std::function<void()> finished)
    : context_(context),
      socket_(std::move(socket)),
      settings_(std::move(settings)),
      fabric_(std::move(fabric)),
      rings_(shared_rings),
      finished_(std::move(finished)),
      core_(settings_, runtime_clock::now()),
      buffer_(max_datagram),
      timer_(context) {
  rings_.rpc_to_data.on_push(
      [this] { boost::asio::post(context_, [this] { drain_rpc(); }); });
  rings_.store_to_data.on_push(
      [this] { boost::asio::post(context_, [this] { drain_store(); }); });
}

void data_thread::start() {
  next_tick_ = runtime_clock::now();
  update_peers();
  wait_readable();
  wait_tick();
}

void data_thread::shut_down() {
  core_.shut_down(runtime_clock::now(), out_);
  flush();
  publish();
}

void data_thread::wait_readable() {
  socket_.async_wait(boost::asio::ip::udp::socket::wait_read,
                     [this](const boost::system::error_code& error) {
                       if (error || stopped_) {
                         return;
                       }
                       receive_batch();
                       wait_readable();
                     });
}

void data_thread::receive_batch() {
  for (int i = 0; i < datagrams_per_batch; ++i) {
    boost::asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const auto size =
        socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
    if (error) {
      return;
    }
    dispatch(from_asio(from), bytes_view(buffer_).first(size));
  }
}

void data_thread::dispatch(const endpoint& from, bytes_view datagram) {
  const auto now = runtime_clock::now();
  if (std::find(fabric_.begin(), fabric_.end(), from) != fabric_.end()) {
    const scoped_timer timer(metrics_.fabric_time);
    ++metrics_[counter::fabric_received];
    core_.on_fabric(datagram, now, out_);
  } else if (const auto peer = peers_.find(from); peer != peers_.end()) {
    on_peer_datagram(peer->second, from, datagram, now);
  } else {
    // The core discards datagrams from addresses that are not a configured
    // upstream's.
    const scoped_timer timer(metrics_.upstream_time);
    ++metrics_[counter::upstream_received];
    core_.on_upstream(from, datagram, now, out_);
  }
  flush();
}

void data_thread::on_peer_datagram(peer_state& peer, const endpoint& from,
                                   bytes_view datagram, time_point now) {
  const scoped_timer timer(metrics_.peer_time);
  if (!peer.rate.allow(now)) {
    ++metrics_[counter::peer_rate_limited];
    return;
  }
  const auto message = datagram.size() <= max_peer_datagram
                           ? decode_peer_message(datagram)
                           : std::nullopt;
  if (!message || message->from.id != peer.id) {
    ++metrics_[counter::peer_refused];
    return;
  }
  ++metrics_[counter::peer_received];
  core_.on_peer(from, *message, now, out_);
}

void data_thread::wait_tick() {
  next_tick_ = std::max(next_tick_ + tick_interval, runtime_clock::now());
  timer_.expires_at(next_tick_);
  timer_.async_wait(
      [this, due = next_tick_](const boost::system::error_code& error) {
        if (!error && !stopped_) {
          tick(due);
        }
      });
}

void data_thread::tick(time_point due) {
  const auto now = runtime_clock::now();
  metrics_.tick_delay.add(std::chrono::duration<double>(now - due).count());
  core_.tick(now, out_);
  flush();
  rings_.reads_store = core_.reads_store(now);
  rings_.applied = core_.current_configuration().highest;
  if (!addresses_sent_) {
    send_addresses();
  }
  if (now >= next_publish_) {
    next_publish_ = now + publish_interval;
    publish();
  }
  if (core_.may_exit(now)) {
    stopped_ = true;
    publish();
    finished_();
    return;
  }
  wait_tick();
}

void data_thread::drain_rpc() {
  rings_.rpc_to_data.drain(
      [this](rpc_event&& event) { on_rpc_event(std::move(event)); });
  flush();
}

void data_thread::on_rpc_event(rpc_event&& event) {
  const auto now = runtime_clock::now();
  if (const auto* received = std::get_if<received_message>(&event)) {
    const scoped_timer timer(metrics_.peer_time);
    ++metrics_[counter::peer_received];
    core_.on_peer(received->from, received->message, now, out_);
  } else if (const auto* events = std::get_if<events_query>(&event)) {
    peer_message page;
    page.from = settings_.self;
    page.body =
        events_page{core_.events().page(events->first, events_per_page)};
    rings_.data_to_rpc.push(events_reply{events->query, encode(page)});
  } else if (const auto* status = std::get_if<status_query>(&event)) {
    rings_.data_to_rpc.push(status_reply{status->query, settings_.self,
                                         settings_.data_centre,
                                         core_.status(now)});
  }
}

void data_thread::drain_store() {
  rings_.store_to_data.drain([this](store_event&& event) {
    const auto now = runtime_clock::now();
    if (const auto* update = std::get_if<store_documents>(&event)) {
      core_.on_store_documents(update->documents, now, out_);
    } else if (const auto* state = std::get_if<store_state>(&event)) {
      core_.on_store_state(state->reachable, now, out_);
    }
  });
  flush();
}

}  // namespace rosemarydrum
