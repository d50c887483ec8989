#pragma once

#include <optional>
#include <vector>

#include "rosemarydrum/forwarding/flow_records.h"
#include "rosemarydrum/spread/flow_record_report.h"
#include "rosemarydrum/spread/report_queue.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Tells the other members of the data centre which upstreams hold the flows
/// whose tags may name others, and keeps what the members tell.
class flow_record_exchange {
 public:
  explicit flow_record_exchange(duration flow_lifetime);

  /// Queues records of this process.
  void add(const std::vector<flow_record>& records, time_point now);
  /// Keeps records of another member.
  void on_report(const flow_record_report& report, time_point now);
  /// Returns the report that is due; nullopt if nothing is due.
  std::optional<flow_record_report> take(time_point now);
  /// Returns all records, for a process that starts.
  std::vector<flow_record> all(time_point now) const { return known_.all(now); }

  void expire(time_point now) { known_.expire(now); }

 private:
  flow_records known_;
  report_queue<flow_record> queue_;
};

}  // namespace rosemarydrum
