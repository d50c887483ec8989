#pragma once

#include <algorithm>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A token bucket that limits the message rate of one sender.
class message_rate {
 public:
  message_rate(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Takes one token. Returns false if none is left.
  bool allow(time_point now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * per_second_);
    last_refill_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double burst_;
  double tokens_;
  time_point last_refill_{};
};

}  // namespace rosemarydrum
