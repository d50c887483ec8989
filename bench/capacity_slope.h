#pragma once

#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarydrum::bench {

/// Measured points of a quantity against a size, and the line fitted to them.
class slope {
 public:
  slope(std::string_view name, std::string_view unit)
      : name_(name), unit_(unit) {}

  void add(double size, double value) { points_.push_back({size, value}); }

  /// Fits the line by least squares of the relative error, so that small
  /// sizes count as much as large ones, and prints it.
  void print() const {
    double s = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& [x, y] : points_) {
      const double weight = 1 / (y * y);
      s += weight;
      sx += weight * x;
      sy += weight * y;
      sxx += weight * x * x;
      sxy += weight * x * y;
    }
    double per = (s * sxy - sx * sy) / (s * sxx - sx * sx);
    // A constant quantity leaves a tiny slope because of rounding.
    if (std::abs(per * points_.back().x) < 1e-9 * points_.back().y) {
      per = 0;
    }
    const double intercept = (sy - per * sx) / s;
    double squares = 0;
    for (const auto& [x, y] : points_) {
      squares += std::pow((intercept + per * x) / y - 1, 2);
    }
    const auto count = static_cast<double>(points_.size());
    std::printf(
        "slope=%s intercept=%.4g per=%.4g unit=%s residual=%.3f from=%.0f "
        "to=%.0f points=%zu\n",
        name_.c_str(), intercept, per, unit_.c_str(),
        std::sqrt(squares / count), points_.front().x, points_.back().x,
        points_.size());
    std::fflush(stdout);
  }

 private:
  struct point {
    double x;
    double y;
  };
  std::string name_;
  std::string unit_;
  std::vector<point> points_;
};

/// Returns the processor time of this thread, in microseconds.
inline double processor_us() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// Returns the processor time of one call, in microseconds: the minimum over
/// `rounds` rounds of `count` calls, which other processes disturbed least.
template <typename Call>
double time_of(int rounds, int count, Call call) {
  double least = 1e300;
  for (int round = 0; round < rounds; ++round) {
    const double start = processor_us();
    for (int i = 0; i < count; ++i) {
      call();
    }
    least = std::min(least, processor_us() - start);
  }
  return least / count;
}

}  // namespace rosemarydrum::bench
