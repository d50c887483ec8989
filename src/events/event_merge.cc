#include <algorithm>
#include <tuple>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum {
namespace {

// Process and sequence only make the order of concurrent events deterministic.
auto sort_key(const event_record& event) {
  return std::tuple(event.logical_time, event.wall_time,
                    value_of(event.process.id), value_of(event.process.run),
                    event.sequence);
}

}  // namespace

std::vector<ordered_event> merge_events(std::vector<event_record> events) {
  std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return sort_key(a) < sort_key(b);
  });
  // Removes duplicates, because pages of one process may overlap.
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
