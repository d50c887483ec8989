#include "rosemarydrum/events/event_log.h"

#include <algorithm>
#include <utility>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr std::uint32_t max_events_per_second = 100;

}  // namespace

event_log::event_log(balancer_run process, std::size_t capacity)
    : process_(process), capacity_(std::max<std::size_t>(capacity, 1)) {}

std::optional<event_record> event_log::add(event_record event, time_point now) {
  const auto suppressed_before =
      rate_limiters_.try_emplace(event.id, max_events_per_second)
          .first->second.take(now);
  if (!suppressed_before) {
    return std::nullopt;
  }
  event.suppressed = *suppressed_before;
  event.process = process_;
  event.sequence = next_sequence_++;
  event.wall_time = runtime_clock::to_unix(now);
  if (event.sequence == 1) {
    // Starts the logical clock at the wall time, so that the events of a
    // restarted process follow those of its earlier runs instead of being
    // listed at the start of the merged time line.
    observe(event.wall_time);
  }
  event.logical_time = next_logical_time();
  if (ring_.size() == capacity_) {
    ring_.pop_front();
  }
  ring_.push_back(event);
  return event;
}

std::vector<event_record> event_log::page(std::uint64_t first,
                                          std::size_t limit) const {
  const auto begin = std::lower_bound(ring_.begin(), ring_.end(), first,
                                      [](const auto& event, auto sequence) {
                                        return event.sequence < sequence;
                                      });
  const auto available = static_cast<std::size_t>(ring_.end() - begin);
  return {begin,
          begin + static_cast<std::ptrdiff_t>(std::min(limit, available))};
}

}  // namespace rosemarydrum
