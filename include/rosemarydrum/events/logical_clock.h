#pragma once

#include <atomic>
#include <cstdint>

namespace rosemarydrum {

/// A Lamport clock: an event's time is larger than that of all events that it
/// may depend on (Lamport, 1978). The threads of a process share one.
class logical_clock {
 public:
  logical_clock() = default;
  /// A copy goes on from the same time.
  logical_clock(const logical_clock& other) : time_(other.time_.load()) {}
  logical_clock& operator=(const logical_clock& other) {
    time_ = other.time_.load();
    return *this;
  }

  /// A message with logical time `theirs` has arrived.
  void witness(std::uint64_t theirs) {
    if (theirs > largest) {
      return;
    }
    auto known = time_.load(std::memory_order_relaxed);
    while (known < theirs && !time_.compare_exchange_weak(
                                 known, theirs, std::memory_order_relaxed)) {
    }
  }
  std::uint64_t next() {
    return time_.fetch_add(1, std::memory_order_relaxed) + 1;
  }

 private:
  /// A larger value from a peer is a fault; taking it over could wrap.
  static constexpr std::uint64_t largest = std::uint64_t{1} << 62;

  std::atomic<std::uint64_t> time_{0};
};

}  // namespace rosemarydrum
