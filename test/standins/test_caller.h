#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <iostream>
#include <map>
#include <string>

#include "answer_payload.h"
#include "datagram_socket.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::standins {

struct caller_options {
  endpoint source{0x7f000001, 0};
  endpoint service;
  service_id service_number{};
  std::uint64_t first_flow = 1;
  std::uint32_t flows = 4;
  /// Requests on each flow, sent one after the other.
  std::uint32_t requests = 25;
  std::uint32_t interval_ms = 20;
  std::uint32_t deadline_ms = 2000;
  std::uint32_t resend_ms = 200;
  std::uint8_t priority = 1;
  bool idempotent = true;
};

/// A caller with several flows. Prints one line for each request:
/// `result FLOW REQUEST answered|refused|unanswered|mixed ERROR OUTCOME
/// MICROSECONDS`.
class test_caller {
 public:
  test_caller(boost::asio::io_context& context, const caller_options& options)
      : context_(context),
        options_(options),
        socket_(context, options.source,
                [this](const endpoint& from, bytes_view datagram) {
                  receive(from, datagram);
                }) {
    for (std::uint32_t i = 0; i < options.flows; ++i) {
      const auto id = flow_id(options.first_flow + i);
      flows_.try_emplace(id, context);
      next_request(id);
    }
  }

 private:
  using timer = boost::asio::basic_waitable_timer<runtime_clock>;

  struct flow_state {
    explicit flow_state(boost::asio::io_context& context) : due(context) {}
    timer due;
    /// The token from the latest answer, used for the next request.
    bytes token;
    std::uint64_t request = 0;
    bool open = false;
    bool tried_without_token = false;
    /// The request keeps the token that it was first sent with, because the
    /// token names its only owner.
    bytes sent_token;
    time_point started;
    packet_header last_refusal;
    /// Parts by attempt and index.
    std::map<std::uint32_t, std::map<std::uint16_t, bytes>> parts;
  };

  void next_request(flow_id id) {
    auto& f = flows_.at(id);
    if (f.request == options_.requests) {
      if (++done_ == options_.flows) {
        context_.stop();
      }
      return;
    }
    ++f.request;
    f.open = true;
    f.tried_without_token = f.token.empty();
    f.sent_token = f.token;
    f.started = runtime_clock::now();
    f.last_refusal = {};
    f.parts.clear();
    transmit(id);
  }

  void transmit(flow_id id) {
    auto& f = flows_.at(id);
    const auto passed = std::chrono::duration_cast<milliseconds>(
        runtime_clock::now() - f.started);
    if (passed >= milliseconds(options_.deadline_ms)) {
      finish(id, "unanswered", f.last_refusal);
      return;
    }
    packet p;
    p.header.idempotent = options_.idempotent;
    p.header.opens_flow = f.request == 1;
    p.header.priority = options_.priority;
    p.header.time_left_ms =
        options_.deadline_ms - static_cast<std::uint32_t>(passed.count());
    p.header.service = options_.service_number;
    p.header.flow = id;
    p.header.request = request_id(f.request);
    p.token = f.sent_token;
    p.payload = {1, 2, 3, 4};
    socket_.send(options_.service, encode(p));
    wait(id, milliseconds(options_.resend_ms), [this, id] { transmit(id); });
  }

  void receive(const endpoint& from, bytes_view datagram) {
    const auto p = decode_packet(datagram);
    if (!p || from != options_.service) {
      return;
    }
    const auto found = flows_.find(p->header.flow);
    if (found == flows_.end()) {
      std::cout << "foreign " << value_of(p->header.flow) << std::endl;
      return;
    }
    auto& f = found->second;
    if (!f.open || p->header.request != request_id(f.request)) {
      return;  // A late duplicate of an earlier answer.
    }
    if (p->header.kind == packet_kind::answer) {
      on_part(f, *p);
    } else if (p->header.kind == packet_kind::refusal) {
      on_refusal(f, *p);
    }
  }

  void on_part(flow_state& f, const packet& p) {
    const auto& h = p.header;
    if (!p.token.empty()) {
      f.token = p.token;
    }
    auto& parts = f.parts[h.attempt];
    parts[h.part] = p.payload;
    if (parts.size() < h.parts) {
      return;
    }
    for (const auto& [index, payload] : parts) {
      if (payload != answer_payload(h.flow, h.request, index)) {
        finish(h.flow, "mixed", h);
        return;
      }
    }
    finish(h.flow, "answered", h);
  }

  void on_refusal(flow_state& f, const packet& p) {
    const auto& h = p.header;
    if (h.error == error_kind::token_required && f.tried_without_token) {
      // Only the first refusal supplies the token; duplicates are ignored.
      if (f.sent_token.empty()) {
        f.sent_token = p.token;
        transmit(h.flow);
      }
      return;
    }
    if (!p.token.empty()) {
      f.token = p.token;
    }
    if (h.error == error_kind::token_expired ||
        h.error == error_kind::token_invalid ||
        h.error == error_kind::outcome_unknown ||
        h.error == error_kind::owner_lost) {
      // The token no longer leads to an owner; the next request asks for a new
      // token.
      f.token = p.token;
    }
    if (options_.idempotent) {
      // Safe to resend; the timer does so until the deadline.
      f.last_refusal = h;
      return;
    }
    finish(h.flow, "refused", h);
  }

  void finish(flow_id id, std::string_view how, const packet_header& h) {
    auto& f = flows_.at(id);
    f.open = false;
    constexpr std::string_view outcomes[] = {"not_run", "unknown", "none"};
    std::cout << "result " << value_of(id) << ' ' << f.request << ' ' << how
              << ' ' << description_of(h.error).name << ' '
              << outcomes[static_cast<std::size_t>(h.outcome)] << ' '
              << (runtime_clock::now() - f.started).count() << std::endl;
    wait(id, milliseconds(options_.interval_ms),
         [this, id] { next_request(id); });
  }

  template <typename Function>
  void wait(flow_id id, duration delay, Function run) {
    auto& due = flows_.at(id).due;
    due.expires_after(delay);
    due.async_wait([run](const boost::system::error_code& error) {
      if (!error) {
        run();
      }
    });
  }

  boost::asio::io_context& context_;
  caller_options options_;
  std::map<flow_id, flow_state> flows_;
  std::uint32_t done_ = 0;
  datagram_socket socket_;
};

}  // namespace rosemarydrum::standins
