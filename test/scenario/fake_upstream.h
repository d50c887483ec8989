#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "checker.h"
#include "rosemarydrum/requests/packet.h"
#include "simulation.h"

namespace rosemarydrum::scenario {

/// Simulates an upstream: slots, service times, cold start, shedding, send-by
/// times, deadlines and cancellation. A cold upstream can run one request at a
/// time, and one more for every four answers, up to its number of slots.
class fake_upstream {
 public:
  using reply = std::function<void(const packet&)>;

  fake_upstream(simulation& sim, checker& checks, upstream_id id,
                std::uint16_t slots, duration service_time)
      : sim_(sim),
        checks_(checks),
        id_(id),
        slots_(slots),
        service_time_(service_time) {
    restart();
  }

  /// Drops all requests in progress, changes the incarnation and turns cold.
  void restart() {
    run_ = incarnation(sim_.random()() | 1);
    turn_cold();
    running_.clear();
  }
  /// Turns cold without a restart, as after the loss of a cache.
  void turn_cold() {
    answered_ = 0;
    cold_since_ = sim_.now();
  }
  void set_warm() { answered_ = 1000; }
  /// Accepts requests that arrive after their send-by time, to show that the
  /// scenario fails without this check.
  void ignore_send_by() { checks_send_by_ = false; }

  void receive(const packet& p, bool approved, const reply& answer) {
    const auto& h = p.header;
    if (h.kind == packet_kind::cancel) {
      running_.erase(h.attempt);
      return;
    }
    if (h.kind == packet_kind::resend) {
      if (const auto found = answers_.find(h.attempt);
          found != answers_.end() && h.part < found->second.size()) {
        answer(found->second[h.part]);
      }
      return;
    }
    if (h.kind != packet_kind::request) {
      checks_.on_flow_packet(h.flow, id_);
      return;
    }
    packet out;
    out.header = h;
    out.header.upstream_run = run_;
    if (checks_send_by_ && runtime_clock::to_unix(sim_.now()) > h.send_by) {
      out.header.kind = packet_kind::rejected_late;
      answer(out);
      return;
    }
    if (running_.size() >= slots_) {
      out.header.kind = packet_kind::shed;
      answer(out);
      checks_.add("sheds", 1);
      return;
    }
    checks_.on_run(h, id_, approved);
    running_[h.attempt] = h;
    record_cold_load();
    const auto run = run_;
    const auto run_time = sim_.exponential(service_time_);
    const duration allowed = milliseconds(h.time_left_ms);
    if (run_time > allowed) {
      // The request is terminated at its deadline, without an answer.
      sim_.after(allowed, [this, h, run] {
        if (run == run_) {
          running_.erase(h.attempt);
        }
      });
      return;
    }
    sim_.after(run_time, [this, h, run, answer] { finish(h, run, answer); });
  }

  std::size_t running() const { return running_.size(); }
  bool is_cold() const { return capacity() < slots_; }

 private:
  std::size_t capacity() const {
    return std::min<std::size_t>(slots_, 1 + answered_ / 4);
  }
  void record_cold_load() {
    // Requests that were running when the upstream turned cold are not the
    // balancers' fault, so the first 250 ms are not judged.
    if (is_cold() && sim_.now() - cold_since_ > milliseconds(250)) {
      checks_.on_cold_load(static_cast<double>(running_.size()),
                           static_cast<double>(capacity()));
    }
  }
  void finish(const packet_header& h, incarnation run, const reply& answer) {
    if (run != run_ || running_.erase(h.attempt) == 0) {
      return;
    }
    ++answered_;
    const auto parts = static_cast<std::uint16_t>(1 + value_of(h.request) % 3);
    for (std::uint16_t part = 0; part < parts; ++part) {
      packet out;
      out.header = h;
      out.header.kind = packet_kind::answer;
      out.header.part = part;
      out.header.parts = parts;
      out.header.upstream_run = run_;
      out.payload = expected_part(h.flow, h.request, part);
      answers_[h.attempt].push_back(out);
      answer(out);
    }
    sim_.after(seconds(2), [this, h] { answers_.erase(h.attempt); });
  }

  simulation& sim_;
  checker& checks_;
  upstream_id id_;
  std::uint16_t slots_;
  duration service_time_;
  bool checks_send_by_ = true;
  incarnation run_{};
  std::size_t answered_ = 0;
  time_point cold_since_;
  std::map<std::uint32_t, packet_header> running_;
  std::map<std::uint32_t, std::vector<packet>> answers_;
};

}  // namespace rosemarydrum::scenario
