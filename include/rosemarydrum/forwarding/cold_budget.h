#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What a cold upstream may get from this process. The whole fleet may send it
/// a few flows a second, so that each flow needs a process that is entitled to
/// it, and each entitled process sends one a period.
class cold_budget {
 public:
  /// Longer than the second over which the fleet's flows are counted, for
  /// packets that are delayed on their way.
  static constexpr milliseconds period{1250};

  bool allows(time_point now) const { return now >= next_; }
  void take(time_point now) { next_ = now + period; }

 private:
  time_point next_;
};

}  // namespace rosemarydrum
