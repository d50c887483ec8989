#include "rosemarydrum/forwarding/decaying_count.h"

#include <cmath>

namespace rosemarydrum {

void decaying_count::add(double events, time_point now) {
  count_ = at(now) + events;
  updated_ = now;
}

double decaying_count::at(time_point now) const {
  if (count_ == 0) {
    return 0;
  }
  const auto passed = static_cast<double>((now - updated_).count());
  return count_ *
         std::exp(-passed / static_cast<double>(time_constant_.count()));
}

}  // namespace rosemarydrum
