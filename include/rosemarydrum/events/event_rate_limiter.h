#pragma once

#include <cstdint>
#include <optional>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Limits the events of one kind to a number per second and counts the
/// suppressed ones.
class event_rate_limiter {
 public:
  explicit event_rate_limiter(std::uint32_t per_second = 100)
      : per_second_(per_second) {}

  void set_limit(std::uint32_t per_second) { per_second_ = per_second; }

  /// Returns the number of events suppressed since the last one that passed, or
  /// nullopt if this event must be suppressed as well.
  std::optional<std::uint32_t> take(time_point now);

 private:
  std::uint32_t per_second_;
  std::int64_t second_ = 0;
  std::uint32_t count_ = 0;
  std::uint32_t suppressed_ = 0;
};

}  // namespace rosemarydrum
