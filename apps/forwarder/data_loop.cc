#include "forwarder/data_loop.h"

#include <boost/asio/post.hpp>

#include "io/addresses.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;

constexpr std::size_t max_datagram = 2048;
constexpr int max_batch = 64;
constexpr milliseconds tick_interval{50};
constexpr milliseconds sweep_interval{200};
/// A loop that comes this late has not run for a while.
constexpr milliseconds stall_time{400};

}  // namespace

data_loop::data_loop(asio::io_context& context, asio::ip::udp::socket socket,
                     const flow_codec& codec, forwarder_settings settings,
                     forwarder_rings& joined)
    : context_(context),
      socket_(std::move(socket)),
      codec_(codec),
      core_(std::move(settings)),
      rings_(joined),
      timer_(context),
      buffer_(codec.headroom() + max_datagram),
      caller_port_(socket_.local_endpoint().port()) {
  rings_.to_data.on_push(
      [this] { asio::post(context_, [this] { take_updates(); }); });
}

void data_loop::start() {
  last_wake_ = runtime_clock::now();
  wait_readable();
  wait_tick();
}

void data_loop::take_updates() {
  rings_.to_data.drain([this](control_update&& update) {
    const auto now = runtime_clock::now();
    for (const auto& change : update.changes) {
      core_.on_change(change, now);
    }
    if (update.members) {
      core_.set_members(std::move(*update.members));
    }
    if (update.reconnected) {
      core_.on_reconnected();
    }
  });
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
  for (int i = 0; i < max_batch; ++i) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const auto size = socket_.receive_from(
        asio::buffer(buffer_.data() + codec_.headroom(), max_datagram), from, 0,
        error);
    if (error) {
      break;
    }
    on_datagram(size, now);
  }
  repeat_openings(now);
}

void data_loop::on_datagram(std::size_t size, time_point now) {
  const bytes_view datagram(buffer_.data() + codec_.headroom(), size);
  const auto packet = codec_.decode(datagram);
  if (!packet) {
    return;
  }
  const auto verdict = core_.on_packet(*packet, now);
  if (verdict.fate == packet_fate::reset) {
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(codec_.reset_for(*packet)),
                    to_udp({packet->flow.caller.address, caller_port_}), 0,
                    ignored);
    return;
  }
  carry_out(verdict, size);
}

void data_loop::carry_out(const packet_verdict& verdict, std::size_t size) {
  if (verdict.fate != packet_fate::forward) {
    return;
  }
  codec_.address_to(buffer_, verdict.upstream, verdict.tag);
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(buffer_.data(), codec_.headroom() + size),
                  to_udp(verdict.to), 0, ignored);
}

void data_loop::repeat_openings(time_point now) {
  for (const auto& each : core_.repeat_openings(now)) {
    std::copy(each.datagram.begin(), each.datagram.end(),
              buffer_.begin() + static_cast<std::ptrdiff_t>(codec_.headroom()));
    carry_out(each.verdict, each.datagram.size());
  }
}

void data_loop::wait_tick() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick(runtime_clock::now());
      wait_tick();
    }
  });
}

void data_loop::tick(time_point now) {
  if (now - last_wake_ > stall_time) {
    core_.on_stall();
  }
  last_wake_ = now;
  repeat_openings(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + sweep_interval;
    core_.tick(now);
  }
  if (const bool unable = core_.is_unable(now); unable != told_unable_) {
    told_unable_ = rings_.to_control.push({unable}) ? unable : told_unable_;
  }
}

}  // namespace rosemarydrum
