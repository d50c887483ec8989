#pragma once

#include <poll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;

/// Timers and readable sockets on one thread.
class event_loop {
 public:
  void at(time_point when, std::function<void()> run) {
    timers_.emplace(when, std::move(run));
  }
  void after(milliseconds wait, std::function<void()> run) {
    at(clock::now() + wait, std::move(run));
  }
  void every(milliseconds interval, std::function<void()> run) {
    after(interval, [this, interval, run] {
      run();
      every(interval, run);
    });
  }

  void on_readable(int fd, std::function<void()> run) {
    watched_[fd] = {POLLIN, std::move(run)};
  }
  void on_writable(int fd, std::function<void()> run) {
    watched_[fd] = {POLLOUT, std::move(run)};
  }
  void forget(int fd) { watched_.erase(fd); }

  void stop() { stopped_ = true; }
  void run() {
    while (!stopped_) {
      run_due();
      wait();
    }
  }

 private:
  struct watched {
    short events = 0;
    std::function<void()> run;
  };

  void run_due() {
    while (!timers_.empty() && timers_.begin()->first <= clock::now() &&
           !stopped_) {
      const auto run = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      run();
    }
  }

  void wait() {
    std::vector<pollfd> fds;
    for (const auto& [fd, each] : watched_) {
      fds.push_back({fd, each.events, 0});
    }
    auto left = milliseconds(50);
    if (!timers_.empty()) {
      left = std::min(left, std::chrono::ceil<milliseconds>(
                                timers_.begin()->first - clock::now()));
    }
    const auto timeout = std::max<std::int64_t>(left.count(), 0);
    if (poll(fds.data(), fds.size(), static_cast<int>(timeout)) <= 0) {
      return;
    }
    for (const auto& each : fds) {
      const auto found = watched_.find(each.fd);
      if (each.revents != 0 && found != watched_.end()) {
        const auto run = found->second.run;
        run();
      }
    }
  }

  std::multimap<time_point, std::function<void()>> timers_;
  std::map<int, watched> watched_;
  bool stopped_ = false;
};

}  // namespace review
