#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Limits retries and hedged requests to a fraction of the successful requests,
/// so that they do not amplify an overload.
class retry_budget {
 public:
  /// Each success adds `per_success` retries; at most `burst` are saved up.
  explicit retry_budget(double per_success = 0.1, double burst = 10);

  void on_success();
  /// Uses one retry; returns false if none is available.
  bool take();

 private:
  double per_success_;
  double burst_;
  double available_;
};

}  // namespace rosemarydrum
