#include "forwarder/data_loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "io/addresses.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;

constexpr std::size_t max_datagram = 2048;
constexpr int max_batch = 64;
constexpr milliseconds tick_interval{100};
constexpr milliseconds sweep_interval{300};
constexpr milliseconds report_interval{1000};
constexpr std::size_t max_unsent_flows = 4096;
/// A thread counts as stalled if its timer runs later than this.
constexpr milliseconds stall_time{400};

}  // namespace

data_loop::data_loop(asio::io_context& context, asio::ip::udp::socket socket,
                     const flow_codec& codec, forwarder_settings settings,
                     forwarder_rings& rings, event_logger log)
    : context_(context),
      socket_(std::move(socket)),
      codec_(codec),
      rings_(rings),
      log_(std::move(log)),
      journal_(log_, metrics_),
      core_(std::move(settings), codec, journal_),
      timer_(context),
      buffer_(codec.headroom() + max_datagram),
      caller_port_(socket_.local_endpoint().port()) {
  rings_.to_data.on_push([this] {
    asio::post(context_, [this] {
      rings_.to_data.drain(
          [this](control_update&& update) { take_update(std::move(update)); });
    });
  });
}

void data_loop::start() {
  last_wake_ = runtime_clock::now();
  wait_readable();
  wait_tick();
}

void data_loop::take_update(control_update&& update) {
  core_.on_update(update.fleet, runtime_clock::now());
  if (update.log_flows) {
    log_.set_limit(event_id::flow_opened, *update.log_flows);
  }
  if (update.log_severity) {
    log_.set_severity(*update.log_severity);
  }
  journal_.set_known_state({core_.routes().version(),
                            update.fleet.known_revision,
                            update.fleet.confirmed_at});
  report_news(runtime_clock::now());
}

void data_loop::wait_readable() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const boost::system::error_code& error) {
                       if (!error) {
                         receive_batch();
                         wait_readable();
                       }
                     });
}

void data_loop::receive_batch() {
  const auto now = runtime_clock::now();
  check_stall(now);
  int received = 0;
  while (received < max_batch && receive_one(now)) {
    ++received;
  }
  send_due_packets(received == max_batch, now);
  report_news(now);
}

// Other members wait for these.
void data_loop::report_news(time_point now) {
  if (core_.has_flow_records() || core_.has_sightings()) {
    report(now);
  }
}

bool data_loop::receive_one(time_point now) {
  asio::ip::udp::endpoint from;
  boost::system::error_code error;
  const auto size = socket_.receive_from(
      asio::buffer(buffer_.data() + codec_.headroom(), max_datagram), from, 0,
      error);
  if (error) {
    return false;
  }
  on_datagram(size, now);
  return true;
}

void data_loop::on_datagram(std::size_t size, time_point now) {
  ++metrics_.packets_received;
  packets_received_.store(metrics_.packets_received, std::memory_order_relaxed);
  const bytes_view datagram(buffer_.data() + codec_.headroom(), size);
  if (const auto packet = codec_.decode(datagram)) {
    apply_verdict(core_.on_packet(*packet, now), size);
  } else {
    journal_.on_malformed(now);
  }
}

void data_loop::apply_verdict(const packet_verdict& verdict, std::size_t size) {
  switch (verdict.action) {
    case packet_action::forward:
      forward_packet(verdict, size);
      return;
    case packet_action::reset:
      send_reset(size);
      return;
    case packet_action::discard:
      return;
  }
}

void data_loop::forward_packet(const packet_verdict& verdict,
                               std::size_t size) {
  codec_.address_to(buffer_, verdict.upstream, verdict.tag);
  boost::system::error_code error;
  socket_.send_to(asio::buffer(buffer_.data(), codec_.headroom() + size),
                  to_udp(verdict.to), 0, error);
  ++(error ? metrics_.sends_failed : metrics_.packets_forwarded);
}

void data_loop::send_reset(std::size_t size) {
  const auto cause =
      codec_.decode(bytes_view(buffer_.data() + codec_.headroom(), size));
  send_to_caller(cause->flow, codec_.reset_for(*cause));
}

void data_loop::send_to_caller(const flow_ends& flow, const bytes& packet) {
  boost::system::error_code error;
  socket_.send_to(asio::buffer(packet),
                  to_udp({flow.caller.address, caller_port_}), 0, error);
  metrics_.sends_failed += error ? 1 : 0;
}

void data_loop::send_due_packets(bool has_backlog, time_point now) {
  for (const auto& each : core_.due_packets(has_backlog, now)) {
    std::copy(each.datagram.begin(), each.datagram.end(),
              buffer_.begin() + static_cast<std::ptrdiff_t>(codec_.headroom()));
    apply_verdict(each.verdict, each.datagram.size());
  }
  for (const auto& [flow, acknowledged] : core_.take_resets()) {
    send_to_caller(flow, codec_.reset_of(flow, acknowledged));
  }
}

void data_loop::wait_tick() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      metrics_.lateness.add(runtime_clock::now() - timer_.expiry());
      tick(runtime_clock::now());
      wait_tick();
    }
  });
}

void data_loop::tick(time_point now) {
  // Processes the packets that wait in the socket first, so that answers of
  // callers that have already arrived are seen before their timeouts.
  receive_batch();
  if (now >= next_sweep_) {
    next_sweep_ = now + sweep_interval;
    core_.tick(now);
  }
  const auto& ability = core_.ability();
  const bool unable = ability.is_unable(now);
  if (unable != was_unable_) {
    journal_.on_ability(unable, ability.opened(), ability.failed(),
                        ability.unable_until() - now, now);
  }
  if (unable != was_unable_ || now >= next_report_ || core_.has_failures()) {
    was_unable_ = unable;
    report(now);
  }
}

// Called before each batch of packets, because either the socket handler or the
// timer handler may run first after a stall.
void data_loop::check_stall(time_point now) {
  const auto late = now - last_wake_ - tick_interval;
  last_wake_ = now;
  if (late > stall_time) {
    journal_.on_stall(late, now);
    core_.on_stall(late, now);
  }
}

void data_loop::report(time_point now) {
  next_report_ = now + report_interval;
  metrics_.flows = core_.flow_count();
  metrics_.upstreams_in_slow_start = core_.slow_starts();
  for (const auto& record : core_.take_flow_records()) {
    if (unsent_flows_.size() < max_unsent_flows) {
      unsent_flows_.push_back(record);
    }
  }
  if (rings_.to_control.push({was_unable_, metrics_, core_.take_failures(),
                              core_.take_sightings(now), unsent_flows_})) {
    unsent_flows_.clear();
  } else {
    // The ring is full because the control thread is behind. Retries at the
    // next tick.
    next_report_ = now + tick_interval;
  }
}

}  // namespace rosemarydrum
