#include "rosemarydrum/events/event_rate_limiter.h"

#include <utility>

namespace rosemarydrum {

std::optional<std::uint32_t> event_rate_limiter::take(time_point now) {
  const auto second = std::chrono::floor<seconds>(now.time_since_epoch());
  if (second_ != second.count()) {
    second_ = second.count();
    count_ = 0;
  }
  if (count_ >= per_second_) {
    ++suppressed_;
    return std::nullopt;
  }
  ++count_;
  return std::exchange(suppressed_, 0);
}

}  // namespace rosemarydrum
