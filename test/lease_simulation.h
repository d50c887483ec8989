#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "rosemarydrum/membership/shard_lease.h"

namespace rosemarydrum {

/// Simulates the voters and holders of a cell for one shard. Messages are
/// delayed and lost, links fail one way, and members pause, restart and have
/// clocks of different rates.
class lease_simulation {
 public:
  static constexpr shard_id shard{3};

  lease_simulation(int members, std::uint64_t seed)
      : random_(seed), members_(members) {
    for (int i = 0; i < members; ++i) {
      ids_.push_back(balancer_id(i + 1));
    }
    for (member& each : members_) {
      // The rates differ by less than 10 %.
      each.rate = 0.955 + 0.045 * static_cast<double>(random_below(3));
      restart(each);
      each.voter = shard_lease_voter(clock(each) - lease_time);
    }
  }

  /// Advances the time by 10 ms. Returns the number of members that would act
  /// as decider.
  int step() {
    now_ms_ += 10;
    inject_fault();
    deliver();
    int holders = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      member& self = members_[i];
      if (now_ms_ < self.paused_until) {
        continue;
      }
      if (now_ms_ >= self.next_request) {
        send_requests(i);
      }
      holders += self.holder.holds(shard, clock(self)) ? 1 : 0;
    }
    return holders;
  }

 private:
  struct member {
    double rate = 1;
    incarnation run{};
    shard_lease_voter voter{time_point{}};
    shard_lease_holder holder;
    int paused_until = 0;
    int next_request = 0;
    bool candidate = true;
    std::uint64_t sent = 0;
    /// The highest message number received from each member's run. Reordered
    /// messages are dropped.
    std::map<balancer_run, std::uint64_t> received;
  };
  struct message {
    int due = 0;
    std::size_t from = 0, to = 0;
    balancer_run sender;
    incarnation to_run{};
    std::uint64_t number = 0;
    /// Whether this is a vote, not a request or a hand-over.
    bool answer = false;
    bool granted = false;
    std::optional<balancer_id> successor;
    time_point asked_at;
  };

  /// Returns a random number in [0, count).
  std::uint64_t random_below(std::uint64_t count) { return random_() % count; }
  /// Returns the time on the member's clock.
  time_point clock(const member& of) const {
    return time_point(duration(
        static_cast<std::int64_t>((now_ms_ + 60'000) * 1000.0 * of.rate)));
  }
  balancer_run run_of(std::size_t i) const {
    return {ids_[i], members_[i].run};
  }

  void restart(member& self) {
    self.run = incarnation(++runs_);
    self.voter = shard_lease_voter(clock(self));
    self.holder = {};
    self.holder.set_members(ids_);
    self.received.clear();
    self.sent = 0;
  }

  /// With a low probability, starts a random fault or hand-over.
  void inject_fault() {
    member& target = members_[random_below(members_.size())];
    switch (random_below(500)) {
      case 0:
        target.paused_until = now_ms_ + static_cast<int>(random_below(4000));
        break;
      case 1:
        restart(target);
        break;
      case 2:
      case 3:
        cut_until_[{random_below(members_.size()),
                    random_below(members_.size())}] =
            now_ms_ + static_cast<int>(random_below(3000));
        break;
      case 4:
        target.candidate = !target.candidate;
        break;
      case 5:
        hand_over(random_below(members_.size()));
        break;
      case 6: {
        // No member receives messages of one member, while it receives theirs.
        const std::uint64_t unheard = random_below(members_.size());
        for (std::uint64_t to = 0; to < members_.size(); ++to) {
          cut_until_[{unheard, to}] = now_ms_ + 4000;
        }
        break;
      }
      default:
        break;
    }
  }

  /// Hands the shard over to a random member if this member holds it.
  void hand_over(std::size_t i) {
    member& self = members_[i];
    if (now_ms_ < self.paused_until || !self.holder.holds(shard, clock(self))) {
      return;
    }
    self.holder.drop(shard, clock(self));
    self.candidate = false;
    const balancer_id successor = ids_[random_below(ids_.size())];
    for (std::size_t to = 0; to < members_.size(); ++to) {
      send(i, to, {}, successor);
    }
  }

  /// Requests the shard from all members, including self.
  void send_requests(std::size_t i) {
    member& self = members_[i];
    self.next_request = now_ms_ + 300;
    for (std::size_t to = 0; self.candidate && to < members_.size(); ++to) {
      message request;
      request.asked_at = clock(self);
      send(i, to, request, std::nullopt);
    }
  }

  void send(std::size_t from, std::size_t to, message sent,
            std::optional<balancer_id> successor) {
    sent.from = from;
    sent.to = to;
    sent.sender = run_of(from);
    sent.to_run = sent.answer ? sent.to_run : incarnation{};
    sent.number = ++members_[from].sent;
    sent.successor = successor;
    sent.due =
        now_ms_ + static_cast<int>(random_below(4) == 0 ? random_below(2000)
                                                        : random_below(9));
    const auto cut = cut_until_.find({from, to});
    if (from == to || cut == cut_until_.end() || cut->second < now_ms_) {
      messages_.push_back(sent);
    }
  }

  /// Delivers the messages that are due to members that are not paused.
  void deliver() {
    std::deque<message> undelivered;
    std::deque<message> current;
    current.swap(messages_);
    for (const message& next : current) {
      member& self = members_[next.to];
      if (next.due > now_ms_ || now_ms_ < self.paused_until) {
        undelivered.push_back(next);
        continue;
      }
      std::uint64_t& received = self.received[next.sender];
      if (next.answer) {
        if (next.to_run == self.run) {
          self.holder.on_granted(ids_[next.from], wanted_shards, next.asked_at);
        }
      } else if (next.number > received) {
        received = next.number;
        if (next.successor) {
          self.voter.hand_over(next.sender, shard, *next.successor);
        } else if (!self.voter
                        .on_wanted(next.sender, wanted_shards, clock(self))
                        .empty()) {
          message answer;
          answer.answer = true;
          answer.to_run = next.sender.run;
          answer.asked_at = next.asked_at;
          send(next.to, next.from, answer, std::nullopt);
        }
      }
    }
    messages_.insert(messages_.end(), undelivered.begin(), undelivered.end());
  }

  std::mt19937_64 random_;
  std::vector<member> members_;
  std::vector<balancer_id> ids_;
  static constexpr shard_id wanted_shards[] = {shard};
  std::uint64_t runs_ = 0;
  int now_ms_ = 0;
  std::deque<message> messages_;
  /// When each one-way link failure ends, in ms, by sender and receiver.
  std::map<std::pair<std::uint64_t, std::uint64_t>, int> cut_until_;
};

}  // namespace rosemarydrum
