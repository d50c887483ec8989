#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "rosemarydrum/slots/slot_table.h"
#include "slot_table_fixture.h"

namespace rosemarydrum {

/// Simulates the slot tables of three balancers, of which each may become the
/// decider, and the requests that run at the upstreams.
class slot_table_simulation {
 public:
  explicit slot_table_simulation(std::uint64_t seed) : random_(seed) {
    std::vector<balancer_id> members;
    for (std::uint32_t i = 1; i <= 3; ++i) {
      runs_.push_back({balancer_id(i), incarnation(100 + i)});
      members.push_back(balancer_id(i));
    }
    for (const balancer_run& run : runs_) {
      auto& table = tables_.emplace_back(
          std::make_unique<slot_table>(slot_table_settings{run, home, 4}));
      table->set_members(members);
      table->set_configuration(current_, now_, out_);
    }
  }

  /// Performs one random event. Returns false if a grant has exceeded the limit
  /// of its upstream or was for an upstream that is out.
  bool step() {
    switch (random_below(14)) {
      case 0:
        now_ +=
            milliseconds(random_below(random_below(20) == 0 ? 12'000 : 300));
        break;
      case 1:
        if (random_below(4) == 0) {
          change_decider();
        }
        break;
      case 2:
        send_limits();
        break;
      case 3:
        if (random_below(8) == 0) {
          toggle_upstream();
        }
        break;
      case 4:
      case 5:
        end_request();
        break;
      default:
        ask();
        break;
    }
    now_ += milliseconds(1 + random_below(5));
    std::erase_if(running_, [&](const auto& r) { return r.ends <= now_; });
    for (auto& table : tables_) {
      table->tick(now_, out_);
      take_answers(*table);
    }
    return !exceeded_;
  }
  std::size_t granted() const { return granted_; }

 private:
  static constexpr int upstream_count = 3;
  static constexpr std::uint16_t slot_count = 3;

  struct running_request {
    slot_answer answer;
    std::size_t owner = 0;
    time_point ends;
  };

  /// Returns a random number in [0, count).
  std::uint64_t random_below(std::uint64_t count) { return random_() % count; }

  /// Changes to another decider, with or without hand-over, or to none.
  void change_decider() {
    const std::size_t next = random_below(tables_.size());
    const bool shares = random_below(4) == 0;
    if (decider_ && !shares && next != *decider_ &&
        tables_[*decider_]->may_hand_over(shard_, now_) &&
        random_below(2) == 0) {
      slot_table& leaving = *tables_[*decider_];
      const lease_handover handover{shard_, leaving.running(shard_, now_),
                                    leaving.limits(shard_)};
      set(*decider_, slot_authority::none, false);
      tables_[next]->on_handover(handover, now_, out_);
      set(next, slot_authority::sole, true);
      decider_ = next;
      return;
    }
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      set(i, shares ? slot_authority::share : slot_authority::none, false);
    }
    decider_ = std::nullopt;
    if (shares) {
      return;
    }
    decider_ = next;
    set(next, slot_authority::sole, false);
    for (std::size_t owner = 0; owner < tables_.size(); ++owner) {
      if (random_below(4) != 0) {
        report(owner);
      }
    }
  }

  void set(std::size_t table, slot_authority mode, bool handed_over) {
    const balancer_id all[] = {balancer_id(1), balancer_id(2), balancer_id(3)};
    tables_[table]->set_authority(shard_, mode, all, handed_over, now_, out_);
    take_answers(*tables_[table]);
  }

  /// Sends the owner's running grants to the decider.
  void report(std::size_t owner) {
    grants_report sent{shard_, {}};
    for (const auto& r : running_) {
      if (r.owner == owner) {
        const auto left = std::chrono::ceil<milliseconds>(r.ends - now_);
        sent.grants.push_back({r.answer.grant, r.answer.service,
                               r.answer.upstream,
                               static_cast<std::uint32_t>(left.count())});
      }
    }
    tables_[*decider_]->on_report(runs_[owner], sent, now_, out_);
    take_answers(*tables_[*decider_]);
  }

  /// Sends the decider's limits to all members.
  void send_limits() {
    const shard_id held[] = {shard_};
    for (auto& table : tables_) {
      if (decider_) {
        table->on_limits(tables_[*decider_]->limits(), held);
      }
    }
  }

  void toggle_upstream() {
    auto& entry =
        current_.services[hour_signal].upstreams[random_below(upstream_count)];
    entry.state = entry.state == service_state::in ? service_state::out
                                                   : service_state::in;
    for (auto& table : tables_) {
      table->set_configuration(current_, now_, out_);
      take_answers(*table);
    }
  }

  void ask() {
    if (random_below(10) != 0) {  // Otherwise the last ask is repeated.
      ++last_ask_;
      last_owner_ = random_below(tables_.size());
    }
    const std::size_t owner = last_owner_;
    slot_ask wanted = ask_of(last_ask_);
    wanted.priority = static_cast<std::uint8_t>(random_below(3));
    wanted.time_left_ms = static_cast<std::uint32_t>(random_below(3000));
    wanted.pinned = upstream_id(
        random_below(4) == 0 ? 1 + random_below(upstream_count) : 0);
    asked_at_[wanted.ask] = now_;
    if (wanted.pinned != upstream_id{}) {
      pinned_asks_.insert(wanted.ask);
    }
    slot_table& table = *tables_[decider_.value_or(owner)];
    table.on_ask(runs_[owner], wanted, now_, out_);
    take_answers(table);
  }

  /// Ends a random request. Its release may be lost or duplicated.
  void end_request() {
    if (running_.empty()) {
      return;
    }
    const auto ended = running_.begin() + static_cast<std::ptrdiff_t>(
                                              random_below(running_.size()));
    slot_release release;
    release.grant = ended->answer.grant;
    release.service = ended->answer.service;
    release.upstream = ended->answer.upstream;
    release.outcome =
        attempt_outcome(random_below(8) == 0 ? random_below(6) : 0);
    release.upstream_run =
        incarnation(random_below(100) == 0 ? 2 + random_below(3) : 1);
    release.latency_us = 20'000;
    const std::size_t owner = ended->owner;
    running_.erase(ended);
    if (random_below(8) == 0) {
      return;  // The release is lost.
    }
    slot_table& table = *tables_[decider_.value_or(owner)];
    for (std::uint64_t copies = 1 + random_below(10) / 9; copies > 0;
         --copies) {
      table.on_release(runs_[owner], release, now_, out_);
      take_answers(table);
    }
  }

  /// Starts the granted requests and checks the limits of their upstreams.
  void take_answers(const slot_table& table) {
    for (const action& entry : out_) {
      const auto* sent = std::get_if<send_to_peer>(&entry);
      if (!sent) {
        continue;
      }
      const auto& answer = std::get<slot_answer>(sent->body);
      // A grant that is sent again does not start another request.
      const bool repeated = !seen_grants_.insert(answer.grant).second;
      if (answer.error == error_kind::none && !repeated) {
        running_.push_back(
            {answer, value_of(sent->to) - 1,
             asked_at_.at(answer.ask) + milliseconds(answer.run_time_ms)});
        ++granted_;
        check(table, answer.upstream, pinned_asks_.contains(answer.ask));
      }
    }
    out_.clear();
  }

  void check(const slot_table& table, upstream_id upstream, bool pinned) {
    const auto& entry =
        current_.services[hour_signal].upstreams[value_of(upstream) - 1];
    // A drained upstream gets only requests that are pinned to it.
    exceeded_ |= entry.state == service_state::out && !pinned;
    exceeded_ |= table.in_flight(hour_signal, upstream) > slot_count;
    for (const upstream_limit& cold : table.limits(shard_)) {
      if (cold.upstream.id == upstream) {
        const auto count = std::count_if(
            running_.begin(), running_.end(),
            [&](const auto& r) { return r.answer.upstream == upstream; });
        exceeded_ |= count > cold.limit;
        exceeded_ |= table.in_flight(hour_signal, upstream) > cold.limit;
      }
    }
  }

  std::mt19937_64 random_;
  configuration current_ = one_service(upstream_count, slot_count);
  shard_id shard_ = shard_of(hour_signal);
  time_point now_{seconds(100)};
  actions out_;
  std::vector<balancer_run> runs_;
  std::vector<std::unique_ptr<slot_table>> tables_;
  std::optional<std::size_t> decider_;
  std::vector<running_request> running_;
  std::set<grant_id> seen_grants_;
  /// When each ask was last sent. Run times count from then.
  std::map<std::uint64_t, time_point> asked_at_;
  /// Asks of flows that are pinned to an upstream.
  std::set<std::uint64_t> pinned_asks_;
  std::uint64_t last_ask_ = 0;
  std::size_t last_owner_ = 0;
  std::size_t granted_ = 0;
  bool exceeded_ = false;
};

}  // namespace rosemarydrum
