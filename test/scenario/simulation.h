#pragma once

#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::scenario {

/// Discrete-event simulation that drives the runtime clock by hand.
class simulation {
 public:
  explicit simulation(std::uint64_t seed) : random_(seed) {}

  time_point now() const { return runtime_clock::now(); }
  duration since_start() const { return now() - start_; }
  std::mt19937_64& random() { return random_; }

  /// Schedules `callback` after `delay`. Actions due at the same time run in
  /// the order in which they were scheduled.
  void after(duration delay, std::function<void()> callback) {
    events_.push({now() + delay, next_order_++, std::move(callback)});
  }

  void run_for(duration length) {
    const auto end = now() + length;
    while (!events_.empty() && events_.top().at <= end) {
      const auto due = events_.top();
      events_.pop();
      clock_.advance(due.at - now());
      due.callback();
    }
    clock_.advance(end - now());
  }

  /// Returns a random number, uniform in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  duration exponential(duration mean) {
    std::exponential_distribution<double> d(1.0 /
                                            static_cast<double>(mean.count()));
    return duration(static_cast<duration::rep>(d(random_)));
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  manual_time clock_{seconds(1000)};
  time_point start_ = runtime_clock::now();
  std::mt19937_64 random_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace rosemarydrum::scenario
