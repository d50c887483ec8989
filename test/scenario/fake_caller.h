#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "checker.h"
#include "rosemarydrum/requests/packet.h"
#include "simulation.h"

namespace rosemarydrum::scenario {

/// Settings of one `load` command.
struct load_profile {
  service_id service{};
  data_centre_id data_centre{};
  double per_second = 0;
  duration length{};
  duration deadline = milliseconds(2000);
  std::uint8_t priority = 1;
  /// Fraction of the requests, 0 to 1.
  double non_idempotent = 0;
  /// Fraction of the flows that echo tokens; non-idempotent requests always do.
  double echo_token = 1;
  /// Fraction of the requests that are sent on long-lived flows, 0 to 1.
  double long_flows = 0;
  /// Opens a new flow when a flow is refused with flow_ended.
  bool reopens = false;
  /// If false, sends from an address that no approval covers.
  bool approved = true;
};

/// Simulates the callers of one load: they retransmit requests, echo tokens and
/// check each answer.
class fake_caller {
 public:
  /// Sends a datagram to the service's address through the fabric.
  using transmit = std::function<void(const packet&)>;

  fake_caller(simulation& sim, checker& checks, load_profile profile,
              std::uint64_t first_flow, transmit send)
      : sim_(sim),
        checks_(checks),
        profile_(profile),
        next_flow_(first_flow),
        send_(std::move(send)) {
    const auto pool =
        static_cast<std::size_t>(profile_.long_flows * profile_.per_second);
    for (std::size_t i = 0; i < std::min<std::size_t>(pool, 500); ++i) {
      pool_.push_back(flow_id(next_flow_++));
    }
  }

  void start() {
    ends_ = sim_.now() + profile_.length;
    next_arrival();
  }

  void receive(const packet& p) {
    const auto found = open_.find(p.header.request);
    if (found == open_.end() || found->second.flow != p.header.flow) {
      return;
    }
    auto& r = found->second;
    if (r.echoes && !p.token.empty()) {
      tokens_[r.flow] = p.token;
    }
    if (p.header.kind == packet_kind::answer) {
      on_part(found->first, r, p);
    } else if (p.header.kind == packet_kind::refusal) {
      on_refusal(found->first, r, p);
    }
  }

  std::size_t open_requests() const { return open_.size(); }

 private:
  struct request_state {
    flow_id flow{};
    bool idempotent = true;
    bool echoes = true;
    bool opens_flow = false;
    time_point deadline;
    /// Set at the first transmission or by token_required; retransmissions
    /// repeat it.
    bytes token;
    int refusals = 0;
    std::map<std::uint32_t, std::vector<bytes>> parts;
  };

  void next_arrival() {
    const duration mean(static_cast<duration::rep>(1e6 / profile_.per_second));
    sim_.after(sim_.exponential(mean), [this] {
      if (sim_.now() < ends_) {
        arrive();
        next_arrival();
      }
    });
  }

  void arrive() {
    request_state r;
    const bool is_long = !pool_.empty() && sim_.uniform() < profile_.long_flows;
    r.flow =
        is_long ? pool_[sim_.random()() % pool_.size()] : flow_id(next_flow_++);
    r.opens_flow = seen_.insert(r.flow).second;
    if (!r.opens_flow && !established_.contains(r.flow)) {
      // Callers send no second request on a flow before its first answer.
      r.flow = flow_id(next_flow_++);
      r.opens_flow = true;
    }
    r.idempotent = sim_.uniform() >= profile_.non_idempotent;
    // Derived from the flow id, so that all idempotent requests of a flow
    // agree.
    r.echoes = !r.idempotent ||
               static_cast<double>(detail::mix(7, value_of(r.flow)) % 1000) <
                   1000 * profile_.echo_token;
    r.deadline = sim_.now() + profile_.deadline;
    if (r.echoes) {
      r.token = tokens_[r.flow];
    }
    const auto id = request_id(next_request_++);
    open_[id] = r;
    if (profile_.approved) {
      checks_.on_asked(r.flow, profile_.priority);
    }
    transmit_request(id);
  }

  void transmit_request(request_id id) {
    const auto found = open_.find(id);
    if (found == open_.end()) {
      return;
    }
    const auto& r = found->second;
    if (sim_.now() >= r.deadline) {
      checks_.add("unanswered", 1);
      open_.erase(found);
      return;
    }
    packet p;
    p.header.kind = packet_kind::request;
    p.header.idempotent = r.idempotent;
    p.header.opens_flow = r.opens_flow;
    p.header.priority = profile_.priority;
    p.header.service = profile_.service;
    p.header.flow = r.flow;
    p.header.request = id;
    p.header.time_left_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(r.deadline - sim_.now())
            .count());
    p.token = r.token;
    p.payload = {1, 2, 3};
    send_(p);
    sim_.after(milliseconds(200), [this, id] { transmit_request(id); });
  }

  void on_part(request_id id, request_state& r, const packet& p) {
    const auto& h = p.header;
    auto& parts = r.parts[h.attempt];
    parts.resize(h.parts);
    if (h.part < parts.size()) {
      parts[h.part] = p.payload;
    }
    for (const auto& part : parts) {
      if (part.empty()) {
        return;
      }
    }
    checks_.on_answer(h, parts, profile_.priority);
    established_.insert(r.flow);
    open_.erase(id);
  }

  void on_refusal(request_id id, request_state& r, const packet& p) {
    const auto error = p.header.error;
    if (error == error_kind::token_required) {
      if (r.token.empty()) {
        r.token = p.token;
        transmit_request(id);
      }
      return;
    }
    checks_.on_refusal(p.header);
    if (error == error_kind::flow_ended && profile_.reopens) {
      const auto opened = flow_id(next_flow_++);
      std::replace(pool_.begin(), pool_.end(), r.flow, opened);
      if (r.idempotent) {
        seen_.insert(opened);
        r.flow = opened;
        r.opens_flow = true;
        r.token.clear();
        r.parts.clear();
        transmit_request(id);
        return;
      }
    }
    if (!r.idempotent || ++r.refusals > 2) {
      open_.erase(id);
    }
  }

  simulation& sim_;
  checker& checks_;
  load_profile profile_;
  std::uint64_t next_flow_;
  transmit send_;
  time_point ends_;
  std::uint64_t next_request_ = 1;
  std::vector<flow_id> pool_;
  std::set<flow_id> seen_;
  std::set<flow_id> established_;
  std::map<flow_id, bytes> tokens_;
  std::map<request_id, request_state> open_;
};

}  // namespace rosemarydrum::scenario
