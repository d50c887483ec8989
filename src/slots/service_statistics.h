#pragma once

#include "rosemarydrum/retry_budget.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Latency estimate and retry budget of a service, updated by its answers.
class service_statistics {
 public:
  void on_answer(duration latency) {
    budget_.on_success();
    // Exponential moving averages with a weight of 1/8.
    if (samples_ == 0) {
      mean_ = latency;
    }
    const duration error = latency - mean_;
    mean_ += error / 8;
    deviation_ += (std::chrono::abs(error) - deviation_) / 8;
    samples_ = samples_ < min_samples ? samples_ + 1 : samples_;
  }
  /// Takes a retry from the budget. Returns false if it is exhausted.
  bool take_retry() { return budget_.take(); }
  /// Returns mean plus mean deviation, as upstream_health does, so that an
  /// answer within the normal variance is neither hedged nor reported as slow.
  /// Zero until there are `min_samples` answers.
  duration usual_latency() const {
    return samples_ < min_samples ? duration::zero() : mean_ + deviation_;
  }

 private:
  // An estimate from fewer answers is too uncertain to hedge on.
  static constexpr int min_samples = 8;

  retry_budget budget_;
  duration mean_{};
  duration deviation_{};
  int samples_ = 0;
};

}  // namespace rosemarydrum::detail
