#include "forwarder/data_loop.h"

#include <boost/asio/post.hpp>

#include "io/addresses.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;

constexpr std::size_t max_datagram = 2048;
constexpr int batch = 64;
constexpr milliseconds tick_interval{100};

}  // namespace

data_loop::data_loop(asio::io_context& context, asio::ip::udp::socket socket,
                     const flow_codec& codec, forwarder_settings settings,
                     bounded_ring<fleet_news>& news)
    : context_(context),
      socket_(std::move(socket)),
      codec_(codec),
      core_(std::move(settings)),
      news_(news),
      timer_(context),
      buffer_(codec.headroom() + max_datagram),
      caller_port_(socket_.local_endpoint().port()) {
  news_.on_push([this] {
    asio::post(context_, [this] {
      news_.drain([this](fleet_news&& item) {
        const auto now = runtime_clock::now();
        std::vector<upstream_key> present;
        for (const auto& change : item.changes) {
          core_.on_change(change, now);
          if (const auto* up = std::get_if<upstream_change>(&change.what)) {
            present.push_back(up->record.key);
          }
        }
        if (item.complete) {
          core_.on_upstream_list(present, item.at, now);
        }
      });
    });
  });
}

void data_loop::start() {
  wait_readable();
  wait_tick();
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
  for (int i = 0; i < batch; ++i) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const auto size = socket_.receive_from(
        asio::buffer(buffer_.data() + codec_.headroom(), max_datagram), from, 0,
        error);
    if (error) {
      return;
    }
    on_datagram(size, now);
  }
}

void data_loop::on_datagram(std::size_t size, time_point now) {
  const bytes_view datagram(buffer_.data() + codec_.headroom(), size);
  const auto packet = codec_.decode(datagram);
  if (!packet) {
    return;
  }
  const auto verdict = core_.on_packet(*packet, now);
  boost::system::error_code ignored;
  if (verdict.fate == packet_fate::forward) {
    codec_.address_to(buffer_, verdict.upstream, verdict.tag);
    socket_.send_to(asio::buffer(buffer_.data(), codec_.headroom() + size),
                    to_udp(verdict.to), 0, ignored);
  } else if (verdict.fate == packet_fate::reset) {
    socket_.send_to(asio::buffer(codec_.reset_for(*packet)),
                    to_udp({packet->flow.caller.address, caller_port_}), 0,
                    ignored);
  }
}

void data_loop::wait_tick() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      core_.tick(runtime_clock::now());
      wait_tick();
    }
  });
}

}  // namespace rosemarydrum
