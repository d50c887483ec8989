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

/// A cell whose messages are delayed, lost and cut one way, and whose members
/// pause, restart and have clocks of different rates.
class lease_cell {
 public:
  static constexpr shard_id shard{3};

  lease_cell(int members, std::uint64_t seed) : random_(seed), nodes_(members) {
    for (int i = 0; i < members; ++i) {
      ids_.push_back(balancer_id(i + 1));
    }
    for (node& each : nodes_) {
      // The rates differ by less than 10 %.
      each.rate = 0.955 + 0.045 * static_cast<double>(pick(3));
      restart(each);
      each.voter = shard_lease_voter(clock(each) - lease_time);
    }
  }

  /// Advances 10 ms; the number of members that would act as decider.
  int step() {
    now_ms_ += 10;
    disturb();
    deliver();
    int holders = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      node& self = nodes_[i];
      if (now_ms_ < self.paused_until) {
        continue;
      }
      if (now_ms_ >= self.next_beat) {
        beat(i);
      }
      holders += self.holder.holds(shard, clock(self)) ? 1 : 0;
    }
    return holders;
  }

 private:
  struct node {
    double rate = 1;
    incarnation run{};
    shard_lease_voter voter{time_point{}};
    shard_lease_holder holder;
    int paused_until = 0;
    int next_beat = 0;
    bool candidate = true;
    std::uint64_t sent = 0;
    /// The last number taken from each member's run: late ones are dropped.
    std::map<balancer_run, std::uint64_t> received;
  };
  struct message {
    int due = 0;
    std::size_t from = 0, to = 0;
    balancer_run sender;
    incarnation to_run{};
    std::uint64_t number = 0;
    bool answer = false;
    bool granted = false;
    std::optional<balancer_id> successor;
    time_point asked_at;
  };

  std::uint64_t pick(std::uint64_t count) { return random_() % count; }
  time_point clock(const node& of) const {
    return time_point(duration(
        static_cast<std::int64_t>((now_ms_ + 60'000) * 1000.0 * of.rate)));
  }
  balancer_run run_of(std::size_t i) const { return {ids_[i], nodes_[i].run}; }

  void restart(node& self) {
    self.run = incarnation(++runs_);
    self.voter = shard_lease_voter(clock(self));
    self.holder = {};
    self.holder.set_members(ids_);
    self.received.clear();
    self.sent = 0;
  }

  void disturb() {
    node& any = nodes_[pick(nodes_.size())];
    switch (pick(500)) {
      case 0:
        any.paused_until = now_ms_ + static_cast<int>(pick(4000));
        break;
      case 1:
        restart(any);
        break;
      case 2:
      case 3:
        cut_[{pick(nodes_.size()), pick(nodes_.size())}] =
            now_ms_ + static_cast<int>(pick(3000));
        break;
      case 4:
        any.candidate = !any.candidate;
        break;
      case 5:
        hand_over(pick(nodes_.size()));
        break;
      case 6: {
        // Nobody hears one member any more, while it hears the others.
        const std::uint64_t silent = pick(nodes_.size());
        for (std::uint64_t to = 0; to < nodes_.size(); ++to) {
          cut_[{silent, to}] = now_ms_ + 4000;
        }
        break;
      }
      default:
        break;
    }
  }

  void hand_over(std::size_t i) {
    node& self = nodes_[i];
    if (now_ms_ < self.paused_until || !self.holder.holds(shard, clock(self))) {
      return;
    }
    self.holder.drop(shard, clock(self));
    self.candidate = false;
    const balancer_id successor = ids_[pick(ids_.size())];
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      send(i, to, {}, successor);
    }
  }

  void beat(std::size_t i) {
    node& self = nodes_[i];
    self.next_beat = now_ms_ + 300;
    for (std::size_t to = 0; self.candidate && to < nodes_.size(); ++to) {
      message ask;
      ask.asked_at = clock(self);
      send(i, to, ask, std::nullopt);
    }
  }

  void send(std::size_t from, std::size_t to, message sent,
            std::optional<balancer_id> successor) {
    sent.from = from;
    sent.to = to;
    sent.sender = run_of(from);
    sent.to_run = sent.answer ? sent.to_run : incarnation{};
    sent.number = ++nodes_[from].sent;
    sent.successor = successor;
    sent.due = now_ms_ + static_cast<int>(pick(4) == 0 ? pick(2000) : pick(9));
    const auto cut = cut_.find({from, to});
    if (from == to || cut == cut_.end() || cut->second < now_ms_) {
      messages_.push_back(sent);
    }
  }

  void deliver() {
    std::deque<message> later;
    std::deque<message> current;
    current.swap(messages_);
    for (const message& next : current) {
      node& self = nodes_[next.to];
      if (next.due > now_ms_ || now_ms_ < self.paused_until) {
        later.push_back(next);
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
    messages_.insert(messages_.end(), later.begin(), later.end());
  }

  std::mt19937_64 random_;
  std::vector<node> nodes_;
  std::vector<balancer_id> ids_;
  static constexpr shard_id wanted_shards[] = {shard};
  std::uint64_t runs_ = 0;
  int now_ms_ = 0;
  std::deque<message> messages_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, int> cut_;
};

}  // namespace rosemarydrum
