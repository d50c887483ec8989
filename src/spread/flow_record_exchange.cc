#include "rosemarydrum/spread/flow_record_exchange.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Records that are made in quick succession share a report.
constexpr milliseconds report_interval{100};
constexpr std::size_t max_queued_records = 4096;

}  // namespace

void flow_record_exchange::add(const std::vector<flow_record>& records,
                               time_point now) {
  for (const auto& each : records) {
    known_.apply(each, now);
    if (queue_.size() < max_queued_records) {
      queue_.push_back(each);
    }
  }
}

void flow_record_exchange::on_report(const flow_record_report& report,
                                     time_point now) {
  for (const auto& each : report.records) {
    known_.apply(each, now);
  }
}

std::optional<flow_record_report> flow_record_exchange::take(time_point now) {
  if (queue_.empty() || now < next_report_) {
    return std::nullopt;
  }
  const auto count = std::min(queue_.size(), max_reported_flows);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  flow_record_report report{{queue_.begin(), end}};
  queue_.erase(queue_.begin(), end);
  next_report_ = now + report_interval;
  return report;
}

}  // namespace rosemarydrum
