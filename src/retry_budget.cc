#include "rosemarydrum/retry_budget.h"

#include <algorithm>

namespace rosemarydrum {

// The budget starts full, so that a service without recent successes can retry
// its first failures.
retry_budget::retry_budget(double per_success, double burst)
    : per_success_(per_success), burst_(burst), available_(burst) {}

void retry_budget::on_success() {
  available_ = std::min(burst_, available_ + per_success_);
}

bool retry_budget::take() {
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace rosemarydrum
