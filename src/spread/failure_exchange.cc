#include "rosemarydrum/spread/failure_exchange.h"

#include <algorithm>
#include <iterator>

namespace rosemarydrum {
namespace {

constexpr milliseconds member_report_interval{100};
constexpr milliseconds reader_report_interval{300};
constexpr std::size_t max_queued_entries = 512;

}  // namespace

void failure_exchange::add(const std::vector<upstream_failures>& failures) {
  for (const auto& each : failures) {
    enqueue({self_, each});
  }
}

std::vector<reported_failures> failure_exchange::on_report(
    incarnation sender, const failure_report& report, bool relay) {
  std::vector<reported_failures> remote_failures;
  for (const auto& entry : report.entries) {
    if (entry.reporter == self_) {
      continue;
    }
    remote_failures.push_back(entry);
    // Relays only the sender's own failures, so that reports do not circulate
    // between two readers.
    if (relay && entry.reporter == sender) {
      enqueue(entry);
    }
  }
  return remote_failures;
}

std::optional<failure_report> failure_exchange::take(bool is_reader,
                                                     time_point now) {
  if (queue_.empty() || now < next_report_) {
    return std::nullopt;
  }
  next_report_ =
      now + (is_reader ? reader_report_interval : member_report_interval);
  const auto count = std::min(queue_.size(), max_reported_failures);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  failure_report report{{queue_.begin(), end}};
  queue_.erase(queue_.begin(), end);
  return report;
}

void failure_exchange::enqueue(const reported_failures& entry) {
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(), [&](const auto& each) {
        return each.reporter == entry.reporter &&
               each.failures.upstream == entry.failures.upstream;
      });
  if (queued != queue_.end()) {
    queued->failures.count += entry.failures.count;
  } else if (queue_.size() < max_queued_entries) {
    queue_.push_back(entry);
  }
}

}  // namespace rosemarydrum
