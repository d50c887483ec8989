#pragma once

#include <functional>
#include <map>
#include <utility>

#include "fleet/timeline.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Runs functions at their due times on a manual clock.
class scheduler : public timeline {
 public:
  time_point now() const override { return runtime_clock::now(); }

  void after(duration delay, std::function<void()> function) override {
    events_.emplace(now() + delay, std::move(function));
  }

  /// Runs all functions that are due within `time`, and advances the clock by
  /// it.
  void run_for(duration time) {
    const auto end = now() + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto next = events_.extract(events_.begin());
      clock_.advance(next.key() - now());
      next.mapped()();
    }
    clock_.advance(end - now());
  }

 private:
  manual_time clock_;
  std::multimap<time_point, std::function<void()>> events_;
};

}  // namespace rosemarydrum
