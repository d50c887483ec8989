#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/events/event_rate_limiter.h"
#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/events/logical_clock.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class event_severity : std::uint8_t { info, warning, error };

/// An entry of the event catalogue.
struct event_description {
  event_id id;
  std::string_view name;
  event_severity severity;
  std::string_view text;
  /// The fields that this event sets, separated by spaces.
  std::string_view fields;
};

/// Returns all entries, ordered by number.
std::span<const event_description> event_catalogue();
/// Returns the entry of `id`, or nullptr if there is none.
const event_description* find_event(event_id id);

/// The time line of one process: a ring buffer of its latest events.
class event_log {
 public:
  explicit event_log(balancer_run process, std::size_t capacity = 65'536);

  /// Adds process, sequence and times to `event` and stores it. Returns nullopt
  /// if the rate limit of its kind (100 per second) suppresses it; the next
  /// event of the kind has the number of suppressed ones.
  std::optional<event_record> add(event_record event, time_point now);

  /// Advances the clock to the logical time of a received message.
  void observe(std::uint64_t received_time) { clock_.observe(received_time); }
  /// Returns the logical time for a message that is sent now.
  std::uint64_t next_logical_time() { return clock_.next(); }

  /// Returns at most `limit` events, from sequence `first` on.
  std::vector<event_record> page(std::uint64_t first, std::size_t limit) const;

 private:
  balancer_run process_;
  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  logical_clock clock_;
  std::deque<event_record> ring_;
  std::map<event_id, event_rate_limiter> rate_limiters_;
};

/// An event of the merged time line. `order_certain` is false if it may have
/// happened before the preceding one.
struct ordered_event {
  event_record event;
  bool order_certain = true;
};

/// Merges the time lines of several processes by logical time.
std::vector<ordered_event> merge_events(std::vector<event_record> events);

}  // namespace rosemarydrum
