#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "answer_payload.h"
#include "datagram_socket.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::standins {

struct upstream_options {
  endpoint listen{0x7f000001, 0};
  std::uint16_t slots = 4;
  /// Mean of the exponentially distributed service time.
  std::uint32_t service_ms = 20;
  std::uint16_t parts = 3;
  bool cold = false;
  std::uint64_t seed = 1;
};

/// Simulates an upstream: slots, service time, cold start, shedding, send-by
/// times, deadlines, cancellation, answers in parts, load reports 1 s late.
class upstream_instance {
 public:
  upstream_instance(boost::asio::io_context& context,
                    const upstream_options& options)
      : context_(context),
        options_(options),
        random_(options.seed),
        socket_(context, options.listen,
                [this](const endpoint& from, bytes_view datagram) {
                  receive(from, datagram);
                }) {
    std::random_device entropy;
    run_ = incarnation((std::uint64_t{entropy()} << 32) | entropy() | 1U);
    answered_ = options.cold ? 0 : answers_per_warm_slot * options.slots;
    report_load();
  }

  endpoint local() const { return socket_.local(); }

  /// Makes the upstream cold without a restart, as after a lost cache.
  void turn_cold() { answered_ = 0; }
  /// Accepts no new requests; running ones finish.
  void drain() { draining_ = true; }

 private:
  static constexpr std::size_t answers_per_warm_slot = 4;
  static constexpr seconds outage_time{2};
  static constexpr seconds answer_retention{5};
  static constexpr milliseconds report_interval{100};
  static constexpr std::size_t report_delay_count = 10;

  using timer = boost::asio::basic_waitable_timer<runtime_clock>;

  /// Identifies one run of a request of one balancer.
  struct run_key {
    endpoint from;
    flow_id flow{};
    request_id request{};
    std::uint32_t attempt = 0;
    friend auto operator<=>(const run_key&, const run_key&) = default;
  };

  /// Number of concurrent requests that the upstream can run while it warms up;
  /// one more makes it fail.
  std::size_t capacity() const {
    return std::min<std::size_t>(options_.slots,
                                 1 + answered_ / answers_per_warm_slot);
  }

  void receive(const endpoint& from, bytes_view datagram) {
    const auto now = runtime_clock::now();
    const auto p = decode_packet(datagram);
    if (!p || now < down_until_) {
      return;
    }
    const auto& h = p->header;
    const run_key key{from, h.flow, h.request, h.attempt};
    switch (h.kind) {
      case packet_kind::request:
        on_request(key, h, now);
        return;
      case packet_kind::cancel:
        running_.erase(key);
        return;
      case packet_kind::resend:
        if (finished_.contains(key)) {
          send_part(key, h, h.part);
        }
        return;
      default:
        return;
    }
  }

  void on_request(const run_key& key, const packet_header& h, time_point now) {
    if (running_.contains(key) || finished_.contains(key)) {
      return;  // The network duplicated the datagram.
    }
    if (runtime_clock::to_unix(now) > h.send_by || h.time_left_ms == 0) {
      reply(key, h, packet_kind::rejected_late);
      return;
    }
    if (running_.size() >= options_.slots || draining_) {
      reply(key, h, packet_kind::shed);
      return;
    }
    if (running_.size() >= capacity()) {
      std::cout << "fell_over " << running_.size() + 1 << ' ' << capacity()
                << std::endl;
      running_.clear();
      answered_ = 0;
      down_until_ = now + outage_time;
      return;
    }
    std::cout << "run " << value_of(h.service) << ' ' << value_of(h.flow) << ' '
              << value_of(h.request) << ' ' << h.attempt << std::endl;
    running_.insert(key);
    const auto time = duration(
        static_cast<duration::rep>(std::exponential_distribution<double>(
            1.0 / (1000.0 * options_.service_ms))(random_)));
    const bool in_time = time < milliseconds(h.time_left_ms);
    after(std::min<duration>(time, milliseconds(h.time_left_ms)),
          [this, key, h, in_time] { finish(key, h, in_time); });
  }

  void finish(const run_key& key, const packet_header& h, bool in_time) {
    if (running_.erase(key) == 0 || !in_time) {
      return;  // Cancelled, lost in an outage, or ended at its deadline.
    }
    ++answered_;
    finished_.insert(key);
    for (std::uint16_t part = 0; part < options_.parts; ++part) {
      send_part(key, h, part);
    }
    after(answer_retention, [this, key] { finished_.erase(key); });
  }

  void send_part(const run_key& key, const packet_header& h,
                 std::uint16_t part) {
    if (part >= options_.parts) {
      return;
    }
    packet answer;
    answer.header = h;
    answer.header.kind = packet_kind::answer;
    answer.header.part = part;
    answer.header.parts = options_.parts;
    answer.payload = answer_payload(h.flow, h.request, part);
    send(key.from, answer);
  }

  void reply(const run_key& key, const packet_header& h, packet_kind kind) {
    packet out;
    out.header = h;
    out.header.kind = kind;
    send(key.from, out);
  }

  void send(const endpoint& to, packet& out) {
    out.header.upstream_run = run_;
    out.header.reported_load = past_loads_.front();
    socket_.send(to, encode(out));
  }

  void report_load() {
    past_loads_.push_back(static_cast<std::uint16_t>(running_.size()));
    if (past_loads_.size() > report_delay_count) {
      past_loads_.pop_front();
    }
    after(report_interval, [this] { report_load(); });
  }

  template <typename Function>
  void after(duration delay, Function run) {
    auto waiting = std::make_shared<timer>(context_, delay);
    waiting->async_wait([waiting, run](const boost::system::error_code& error) {
      if (!error) {
        run();
      }
    });
  }

  boost::asio::io_context& context_;
  upstream_options options_;
  std::mt19937_64 random_;
  incarnation run_{};
  std::size_t answered_ = 0;
  bool draining_ = false;
  time_point down_until_;
  std::set<run_key> running_;
  std::set<run_key> finished_;
  std::deque<std::uint16_t> past_loads_;
  datagram_socket socket_;
};

}  // namespace rosemarydrum::standins
