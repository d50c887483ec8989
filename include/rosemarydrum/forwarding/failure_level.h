#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Count of an upstream's failed flows in which older ones weigh less.
class failure_level {
 public:
  void add(double failures, time_point now);
  double at(time_point now) const;

 private:
  double level_ = 0;
  time_point updated_;
};

}  // namespace rosemarydrum
