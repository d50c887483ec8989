#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Bounded queue of entries for other members. Entries that are made in quick
/// succession share a report.
template <typename Entry>
class report_queue {
 public:
  /// A report holds up to `max_reported` entries. Further entries than
  /// `max_queued` are dropped.
  report_queue(duration interval, std::size_t max_reported,
               std::size_t max_queued)
      : interval_(interval),
        max_reported_(max_reported),
        max_queued_(max_queued) {}

  void add(const Entry& entry) {
    if (queue_.size() < max_queued_) {
      queue_.push_back(entry);
    }
  }

  /// Returns the entries of the report that is due; nullopt if nothing is due.
  std::optional<std::vector<Entry>> take(time_point now) {
    if (queue_.empty() || now < next_report_) {
      return std::nullopt;
    }
    next_report_ = now + interval_;
    const auto count = std::min(queue_.size(), max_reported_);
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> report(queue_.begin(), end);
    queue_.erase(queue_.begin(), end);
    return report;
  }

 private:
  duration interval_;
  std::size_t max_reported_;
  std::size_t max_queued_;
  std::vector<Entry> queue_;
  time_point next_report_;
};

}  // namespace rosemarydrum
