#include "rosemarydrum/spread/failure_exchange.h"

#include <algorithm>
#include <iterator>

namespace rosemarydrum {
namespace {

constexpr milliseconds member_interval{100};
constexpr milliseconds reader_interval{300};
constexpr std::size_t most_waiting = 512;

}  // namespace

void failure_exchange::add(const std::vector<upstream_failures>& seen) {
  for (const auto& each : seen) {
    wait({self_, each});
  }
}

std::vector<upstream_failures> failure_exchange::on_report(
    incarnation sender, const failure_report& report, bool passes_on) {
  std::vector<upstream_failures> fresh;
  for (const auto& entry : report.entries) {
    if (entry.reporter == self_) {
      continue;
    }
    fresh.push_back(entry.seen);
    // Only at first hand, so that nothing goes round between two readers.
    if (passes_on && entry.reporter == sender) {
      wait(entry);
    }
  }
  return fresh;
}

std::optional<failure_report> failure_exchange::take(bool reads,
                                                     time_point now) {
  if (waiting_.empty() || now < next_report_) {
    return std::nullopt;
  }
  next_report_ = now + (reads ? reader_interval : member_interval);
  const auto count = std::min(waiting_.size(), max_reported_failures);
  const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
  failure_report report{{waiting_.begin(), end}};
  waiting_.erase(waiting_.begin(), end);
  return report;
}

void failure_exchange::wait(const reported_failures& entry) {
  const auto known =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& each) {
        return each.reporter == entry.reporter &&
               each.seen.upstream == entry.seen.upstream;
      });
  if (known != waiting_.end()) {
    known->seen.count += entry.seen.count;
  } else if (waiting_.size() < most_waiting) {
    waiting_.push_back(entry);
  }
}

}  // namespace rosemarydrum
