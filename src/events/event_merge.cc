#include <algorithm>
#include <tuple>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum {
namespace {

// Process and sequence only make the order of unsettled events repeatable.
auto order_of(const event_record& event) {
  return std::tuple(event.logical_time, event.wall_time,
                    value_of(event.process.id), value_of(event.process.run),
                    event.sequence);
}

}  // namespace

std::vector<ordered_event> merge_events(std::vector<event_record> events) {
  std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return order_of(a) < order_of(b);
  });
  // Pages of one process may overlap.
  events.erase(std::unique(events.begin(), events.end(),
                           [](const auto& a, const auto& b) {
                             return a.process == b.process &&
                                    a.sequence == b.sequence;
                           }),
               events.end());
  std::vector<ordered_event> merged;
  merged.reserve(events.size());
  for (auto& event : events) {
    bool certain = true;
    if (!merged.empty()) {
      const auto& before = merged.back().event;
      certain = before.logical_time < event.logical_time ||
                before.process == event.process;
    }
    merged.push_back({event, certain});
  }
  return merged;
}

}  // namespace rosemarydrum
