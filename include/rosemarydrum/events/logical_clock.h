#pragma once

#include <atomic>
#include <cstdint>

namespace rosemarydrum {

/// A Lamport clock: an event's time is larger than that of all events that it
/// may depend on (Lamport, 1978). The threads of a process share one.
class logical_clock {
 public:
  logical_clock() = default;
  /// A copy continues from the same time.
  logical_clock(const logical_clock& other) : time_(other.time_.load()) {}
  logical_clock& operator=(const logical_clock& other) {
    time_ = other.time_.load();
    return *this;
  }

  /// Advances the clock to the logical time of a received message.
  void observe(std::uint64_t received_time) {
    if (received_time > max_accepted_time) {
      return;
    }
    auto current = time_.load(std::memory_order_relaxed);
    while (current < received_time &&
           !time_.compare_exchange_weak(current, received_time,
                                        std::memory_order_relaxed)) {
    }
  }
  std::uint64_t next() {
    return time_.fetch_add(1, std::memory_order_relaxed) + 1;
  }

 private:
  /// Larger values from a peer are faulty and ignored, because adopting one
  /// could make the clock wrap around.
  static constexpr std::uint64_t max_accepted_time = std::uint64_t{1} << 62;

  std::atomic<std::uint64_t> time_{0};
};

}  // namespace rosemarydrum
