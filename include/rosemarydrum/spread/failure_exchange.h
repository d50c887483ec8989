#pragma once

#include <optional>
#include <vector>

#include "rosemarydrum/spread/failure_report.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Aggregates the failed flows of a data centre's members: each member reports
/// to the member that reads the store, which relays the reports to all others.
/// A single member sees too few flows of an upstream to detect its failures.
class failure_exchange {
 public:
  explicit failure_exchange(incarnation self) : self_(self) {}

  /// Queues failures of flows of this process.
  void add(const std::vector<upstream_failures>& failures);
  /// Handles a report of the process `sender`. Returns what other processes
  /// have counted. If `relay` is set, queues those that the sender has counted
  /// itself.
  std::vector<reported_failures> on_report(incarnation sender,
                                           const failure_report& report,
                                           bool relay);
  /// Returns the report that is due, which a member sends to the reader and the
  /// reader to all others; nullopt if nothing is due.
  std::optional<failure_report> take(bool is_reader, time_point now);

 private:
  void enqueue(const reported_failures& entry);

  incarnation self_;
  std::vector<reported_failures> queue_;
  time_point next_report_;
};

}  // namespace rosemarydrum
