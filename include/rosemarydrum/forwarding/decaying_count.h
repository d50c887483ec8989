#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Counts events with exponential decay.
class decaying_count {
 public:
  /// The weight of an event falls to 1/e within `time_constant`.
  explicit decaying_count(duration time_constant)
      : time_constant_(time_constant) {}

  void add(double events, time_point now);
  double at(time_point now) const;

 private:
  duration time_constant_;
  double count_ = 0;
  time_point updated_;
};

}  // namespace rosemarydrum
