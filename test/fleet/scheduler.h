#pragma once

#include <functional>
#include <map>
#include <utility>

#include "fleet/timeline.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Runs functions at their times of the held clock.
class scheduler : public timeline {
 public:
  time_point now() const override { return runtime_clock::now(); }

  void after(duration wait, std::function<void()> run) override {
    events_.emplace(now() + wait, std::move(run));
  }

  /// Runs all that is due within `time` and leaves the clock at its end.
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
