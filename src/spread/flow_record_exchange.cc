#include "rosemarydrum/spread/flow_record_exchange.h"

#include <utility>

namespace rosemarydrum {
namespace {

constexpr milliseconds report_interval{100};
constexpr std::size_t max_queued_records = 4096;

}  // namespace

flow_record_exchange::flow_record_exchange(duration flow_lifetime)
    : known_(flow_lifetime),
      queue_(report_interval, max_reported_flows, max_queued_records) {}

void flow_record_exchange::add(const std::vector<flow_record>& records,
                               time_point now) {
  for (const auto& each : records) {
    known_.apply(each, now);
    queue_.add(each);
  }
}

void flow_record_exchange::on_report(const flow_record_report& report,
                                     time_point now) {
  for (const auto& each : report.records) {
    known_.apply(each, now);
  }
}

std::optional<flow_record_report> flow_record_exchange::take(time_point now) {
  auto records = queue_.take(now);
  return records ? std::optional(flow_record_report{std::move(*records)})
                 : std::nullopt;
}

}  // namespace rosemarydrum
