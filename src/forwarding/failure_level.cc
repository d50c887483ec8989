#include "rosemarydrum/forwarding/failure_level.h"

#include <cmath>

namespace rosemarydrum {
namespace {

/// Time in which a failure loses most of its weight.
constexpr double memory_us = 2e6;

}  // namespace

void failure_level::add(double failures, time_point now) {
  level_ = at(now) + failures;
  updated_ = now;
}

double failure_level::at(time_point now) const {
  const auto passed = static_cast<double>((now - updated_).count());
  return level_ * std::exp(-passed / memory_us);
}

}  // namespace rosemarydrum
