#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A count in which older events weigh less.
class fading_count {
 public:
  /// An event loses most of its weight in `memory`.
  explicit fading_count(duration memory) : memory_(memory) {}

  void add(double events, time_point now);
  double at(time_point now) const;

 private:
  duration memory_;
  double count_ = 0;
  time_point updated_;
};

}  // namespace rosemarydrum
