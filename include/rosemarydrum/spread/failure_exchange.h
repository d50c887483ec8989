#pragma once

#include <optional>
#include <vector>

#include "rosemarydrum/spread/failure_report.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Collects the failed flows of a data centre's members at the member that
/// reads the store, which tells all. One member alone sees too few flows of an
/// upstream to judge it.
class failure_exchange {
 public:
  explicit failure_exchange(incarnation self) : self_(self) {}

  /// Flows of this process that have failed.
  void add(const std::vector<upstream_failures>& seen);
  /// A report that the process `sender` has sent; its own failures are passed
  /// on if `passes_on`. Returns those that are new here.
  std::vector<upstream_failures> on_report(incarnation sender,
                                           const failure_report& report,
                                           bool passes_on);
  /// What to send now: to the reader, or from it to all others.
  std::optional<failure_report> take(bool reads, time_point now);

 private:
  void wait(const reported_failures& entry);

  incarnation self_;
  std::vector<reported_failures> waiting_;
  time_point next_report_;
};

}  // namespace rosemarydrum
