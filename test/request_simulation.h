#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/requests/request_witness.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Simulates a request_owner and a request_witness with a simple decider and
/// upstreams. The links between them lose, repeat, delay and reorder messages.
class request_simulation {
 public:
  struct faults {
    /// Probabilities: of each message to be lost, to be repeated and likewise
    /// to be delayed for long, of each attempt to be shed, and of each
    /// non-idempotent request to be closed.
    double loss = 0;
    double repeat = 0;
    double shed = 0;
    double closes = 0;
    /// The owner stops for some time, without loss of its state.
    bool pauses = false;
    /// The owner restarts as a new run, without the state of the former one.
    bool dies = false;
    /// Whether the owner records requests at the witness before it sends them.
    bool records = true;
  };

  request_simulation(std::uint64_t seed, faults with)
      : random_(seed), faults_(with), owner_(make_owner()) {}

  /// Sends `count` requests, each up to three times, and runs until no events
  /// are left.
  void run(int count) {
    for (int i = 1; i <= count; ++i) {
      const bool idempotent = chance(0.5);
      const auto request = make_request(i, idempotent);
      const auto first = milliseconds(random_below(500));
      schedule(first, [this, request] { deliver_request(request); });
      for (auto copies = random_below(3); copies > 0; --copies) {
        schedule(first + milliseconds(random_below(1500)),
                 [this, request] { deliver_request(request); });
      }
      if (!idempotent && chance(faults_.closes)) {
        schedule(first + milliseconds(random_below(400)), [this, request] {
          const token& t = request.owner_token;
          if (witness_
                  .on_close({request.key, t.owner, witness_run, t.expires},
                            now_)
                  .closed) {
            refused_not_run_.insert(request.key);
          }
        });
      }
    }
    if (faults_.pauses) {
      for (int i = 0; i < 4; ++i) {
        schedule(milliseconds(random_below(1500)), [this] {
          paused_until_ = now_ + milliseconds(50 + random_below(800));
        });
      }
    }
    if (faults_.dies) {
      schedule(milliseconds(200 + random_below(400)), [this] {
        owner_incarnation_ = incarnation(value_of(owner_incarnation_) + 1);
        grants_in_use_.clear();  // The decider lets these grants expire.
        owner_ = make_owner();
      });
    }
    for (int i = 0; i < 400; ++i) {
      schedule(milliseconds(10 * i), [this] {
        deliver_to_owner([this](actions& out) { owner_->tick(now_, out); });
      });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto event = std::move(next->second);
      events_.erase(next);
      event();
    }
  }

  /// Counts of violations.
  struct findings {
    int second_sends = 0;
    int false_not_run = 0;
    int wrong_answers = 0;
    int wrong_releases = 0;
    int late_sends = 0;
  };
  findings check() {
    for (const auto& [key, runs] : runs_) {
      findings_.second_sends += !idempotent_.at(key) && runs > 1 ? 1 : 0;
      findings_.false_not_run += refused_not_run_.contains(key) ? 1 : 0;
    }
    for (const auto& [id, parts] : received_answers_) {
      const bool is_same =
          sent_answers_.contains(id) && parts == sent_answers_.at(id);
      findings_.wrong_answers += is_same ? 0 : 1;
    }
    // Each slot that has been granted to the owner must have been released.
    findings_.wrong_releases += static_cast<int>(grants_in_use_.size());
    return findings_;
  }
  std::size_t answered() const { return answered_.size(); }
  std::size_t refused_not_run() const { return refused_not_run_.size(); }
  std::size_t unfinished() const { return owner_->unfinished(); }

 private:
  using answer_id = std::pair<request_key, std::uint32_t>;

  static constexpr balancer_run witness_run{balancer_id(2), incarnation(20)};
  static constexpr balancer_run decider_run{balancer_id(3), incarnation(30)};

  std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
  bool chance(double p) {
    return static_cast<double>(random_below(1'000'000)) < p * 1e6;
  }
  balancer_run self() const { return {balancer_id(1), owner_incarnation_}; }
  std::unique_ptr<request_owner> make_owner() {
    request_owner_settings settings;
    settings.self = self();
    return std::make_unique<request_owner>(settings, tokens_, random_());
  }
  void schedule(duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  /// Delivers a message zero, one or two times, each after a random delay.
  void send_over_link(const std::function<void()>& deliver) {
    const int copies = chance(faults_.loss)     ? 0
                       : chance(faults_.repeat) ? 2
                                                : 1;
    for (int i = 0; i < copies; ++i) {
      const auto slow = chance(faults_.repeat) ? 100'000 : 3'000;
      schedule(duration(500 + random_below(slow)), deliver);
    }
  }
  /// Passes an input to the owner and carries out its actions. A paused owner
  /// handles its inputs when it resumes, in any order.
  void deliver_to_owner(std::function<void(actions&)> input) {
    if (now_ < paused_until_) {
      schedule(paused_until_ - now_ + duration(random_below(100)),
               [this, input = std::move(input)] { deliver_to_owner(input); });
      return;
    }
    actions out;
    input(out);
    for (const action& a : out) {
      std::visit([this](const auto& one) { carry_out(one); }, a);
    }
  }

  owned_request make_request(int i, bool idempotent) {
    owned_request r;
    // Different callers use the same flow and request numbers on purpose.
    r.key = {caller_id(i), service_id(1), flow_id(i % 3), request_id(i % 2)};
    r.idempotent = idempotent;
    r.opens_flow = chance(0.5);
    r.datagram.header.idempotent = idempotent;
    r.datagram.header.time_left_ms = 1000;
    r.datagram.payload = {static_cast<std::uint8_t>(i)};
    r.envelope.caller.address = static_cast<std::uint32_t>(i);
    r.next_witness = witness_run;
    if (!idempotent) {
      r.owner_token = {{r.key.caller, r.key.service, r.key.flow},
                       {},
                       self(),
                       faults_.records ? witness_run : balancer_run{},
                       runtime_clock::to_unix(now_ + token_lifetime)};
    }
    idempotent_[r.key] = idempotent;
    return r;
  }
  void deliver_request(const owned_request& r) {
    deliver_to_owner(
        [this, r](actions& out) { owner_->on_request(r, now_, out); });
  }

  void carry_out(const send_to_peer& a) {
    const auto& ask = std::get<record_ask>(a.body);
    send_over_link([this, ask, to = owner_incarnation_] {
      const auto answer = witness_.on_record(ask, now_);
      send_over_link([this, answer, to] {
        deliver_to_owner([this, answer, to](actions& out) {
          if (to == owner_incarnation_) {
            owner_->on_record_answer(witness_run, answer, now_, out);
          }
        });
      });
    });
  }
  void carry_out(const ask_slot& a) {
    send_over_link([this, ask = a.ask, to = owner_incarnation_] {
      const auto [known, fresh] =
          grants_.try_emplace({to, ask.ask}, grant_id(grants_.size() + 1));
      slot_answer answer{ask.ask,
                         error_kind::none,
                         known->second,
                         ask.service,
                         upstream_id(1 + random_below(3)),
                         {},
                         2000};
      if (chance(0.02)) {
        answer.error = error_kind::overloaded;
      }
      // Models the wait for a free slot.
      schedule(duration(fresh ? random_below(50'000) : 0), [this, answer, to] {
        send_over_link([this, answer, to] {
          deliver_to_owner([this, answer, to](actions& out) {
            if (to == owner_incarnation_) {
              if (answer.error == error_kind::none &&
                  !released_.contains(answer.grant)) {
                grants_in_use_.insert(answer.grant);
              }
              owner_->on_slot_answer(decider_run, answer, now_, out);
            }
          });
        });
      });
    });
  }
  void carry_out(const release_slot& a) {
    grants_in_use_.erase(a.release.grant);
    findings_.wrong_releases +=
        released_.insert(a.release.grant).second ? 0 : 1;
  }
  void carry_out(const send_to_upstream& a) {
    const packet_header& h = a.datagram.header;
    if (h.kind == packet_kind::request) {
      findings_.late_sends += runtime_clock::to_unix(now_) > h.send_by ? 1 : 0;
    }
    send_over_link([this, a] { handle_at_upstream(a.upstream, a.datagram); });
  }
  void carry_out(const send_to_caller& a) {
    const packet_header& h = a.datagram.header;
    const request_key key = key_of(a);
    if (h.kind == packet_kind::answer) {
      const auto next =
          tokens_.open(a.datagram.token, {key.caller, key.service, key.flow});
      findings_.wrong_answers += next && next->owner == self() ? 0 : 1;
      answered_.insert(key);
      auto& parts = received_answers_[{key, h.attempt}];
      parts.resize(h.parts);
      parts[h.part] = a.datagram.payload;
    } else if (h.outcome == certainty::not_run) {
      refused_not_run_.insert(key);
    }
  }
  void carry_out(const bind_flow&) {}
  void carry_out(const record_event&) {}

  /// The request of a reply. Each caller has its own address.
  request_key key_of(const send_to_caller& a) const {
    const packet_header& h = a.datagram.header;
    return {caller_id(a.envelope.caller.address), h.service, h.flow, h.request};
  }

  void handle_at_upstream(upstream_id id, const packet& p) {
    packet reply = p;
    reply.header.upstream_run = incarnation(value_of(id));
    const auto send = [this, id](const packet& out) {
      send_over_link([this, id, out] {
        deliver_to_owner([this, id, out](actions& more) {
          owner_->on_upstream_packet(id, out, now_, more);
        });
      });
    };
    if (p.header.kind == packet_kind::resend) {
      const auto kept = answers_by_attempt_.find(p.header.attempt);
      if (kept != answers_by_attempt_.end() &&
          p.header.part < kept->second.size()) {
        send(kept->second[p.header.part]);
      }
      return;
    }
    // An upstream runs each attempt at most once.
    if (p.header.kind != packet_kind::request ||
        !seen_attempts_.insert(p.header.attempt).second) {
      return;
    }
    if (runtime_clock::to_unix(now_) > p.header.send_by ||
        chance(faults_.shed)) {
      reply.header.kind = runtime_clock::to_unix(now_) > p.header.send_by
                              ? packet_kind::rejected_late
                              : packet_kind::shed;
      send(reply);
      return;
    }
    const request_key key{caller_id(p.payload.at(0)), p.header.service,
                          p.header.flow, p.header.request};
    ++runs_[key];
    schedule(
        milliseconds(5 + random_below(chance(0.1) ? 900 : 40)),
        [this, reply, key, send]() mutable {
          const auto parts = static_cast<std::uint16_t>(1 + random_below(4));
          reply.header.kind = packet_kind::answer;
          reply.header.parts = parts;
          for (std::uint16_t i = 0; i < parts; ++i) {
            reply.header.part = i;
            reply.payload.clear();
            for (auto size = random_below(20); size > 0; --size) {
              reply.payload.push_back(
                  static_cast<std::uint8_t>(random_below(256)));
            }
            sent_answers_[{key, reply.header.attempt}].push_back(reply.payload);
            answers_by_attempt_[reply.header.attempt].push_back(reply);
            send(reply);
          }
        });
  }

  std::mt19937_64 random_;
  faults faults_;
  time_point now_{seconds(1000)};
  time_point paused_until_;
  std::multimap<time_point, std::function<void()>> events_;
  incarnation owner_incarnation_{10};
  token_codec tokens_{bytes(16, 1)};
  std::unique_ptr<request_owner> owner_;
  request_witness witness_{witness_run};

  std::map<request_key, bool> idempotent_;
  std::map<std::pair<incarnation, std::uint64_t>, grant_id> grants_;
  std::set<grant_id> grants_in_use_;
  std::set<grant_id> released_;
  std::set<std::uint32_t> seen_attempts_;
  std::map<std::uint32_t, std::vector<packet>> answers_by_attempt_;
  std::map<answer_id, std::vector<bytes>> sent_answers_;
  std::map<answer_id, std::vector<bytes>> received_answers_;
  std::map<request_key, int> runs_;
  std::set<request_key> answered_;
  std::set<request_key> refused_not_run_;
  findings findings_;
};

}  // namespace rosemarydrum
