#pragma once

#include <boost/histogram.hpp>
#include <chrono>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Seconds on a logarithmic axis from 100 ns to 10 s.
using time_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using time_histogram = decltype(boost::histogram::make_histogram(time_axis{}));

inline time_histogram make_time_histogram() {
  return boost::histogram::make_histogram(time_axis(32, 1e-7, 10.0));
}

/// A histogram of durations and their sum, in seconds.
struct duration_histogram {
  time_histogram counts = make_time_histogram();
  double sum = 0;

  void add(double value) {
    counts(value);
    sum += value;
  }
  void add(duration value) {
    add(std::chrono::duration<double>(value).count());
  }
};

}  // namespace rosemarydrum
