#pragma once

#include <mutex>
#include <utility>

namespace rosemarydrum {

/// A value that one thread sets and another reads, for types that are too large
/// for a lock-free atomic.
template <typename Value>
class latest_value {
 public:
  latest_value() = default;
  latest_value(const latest_value&) = delete;
  latest_value& operator=(const latest_value&) = delete;

  latest_value& operator=(Value value) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(value);
    return *this;
  }

  Value get() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

 private:
  mutable std::mutex mutex_;
  Value value_{};
};

}  // namespace rosemarydrum
