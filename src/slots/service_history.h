#pragma once

#include "rosemarydrum/retry_budget.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// What the answers of a service have shown.
class service_history {
 public:
  void on_answer(duration latency) {
    budget_.on_success();
    // Moving averages over about the last 8 answers.
    if (samples_ == 0) {
      mean_ = latency;
    }
    const duration error = latency - mean_;
    mean_ += error / 8;
    deviation_ += (std::chrono::abs(error) - deviation_) / 8;
    samples_ = samples_ < min_samples ? samples_ + 1 : samples_;
  }
  bool take_retry() { return budget_.take(); }
  /// Mean and mean deviation, as upstream_health has it, so that an answer
  /// within the usual spread is neither hedged nor reported as slow. Zero
  /// until enough answers have been seen.
  duration usual_latency() const {
    return samples_ < min_samples ? duration::zero() : mean_ + deviation_;
  }

 private:
  // Fewer answers say too little to hedge by.
  static constexpr int min_samples = 8;

  retry_budget budget_;
  duration mean_{};
  duration deviation_{};
  int samples_ = 0;
};

}  // namespace rosemarydrum::detail
