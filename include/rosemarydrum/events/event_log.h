#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/events/event_budget.h"
#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/events/logical_clock.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class event_severity : std::uint8_t { info, warning, error };

/// A row of the catalogue of events.
struct event_description {
  event_id id;
  std::string_view name;
  event_severity severity;
  std::string_view text;
  /// The fields that this event sets, separated by blanks.
  std::string_view fields;
};

/// All rows, by number.
std::span<const event_description> event_catalogue();
/// The row of `id`; nullptr if there is none.
const event_description* find_event(event_id id);

/// The time line of one process: a bounded ring of events.
class event_log {
 public:
  explicit event_log(balancer_run process, std::size_t capacity = 65'536);

  /// Stamps and keeps `event`. Nullopt if the rate limit of its kind (100 a
  /// second) holds it back; the next one says how many were.
  std::optional<event_record> add(event_record event, time_point now);

  /// A message with logical time `theirs` has arrived.
  void witness(std::uint64_t theirs) { clock_.witness(theirs); }
  /// The logical time to put on a message that is sent now.
  std::uint64_t next_logical_time() { return clock_.next(); }

  /// At most `limit` events from sequence `first` on.
  std::vector<event_record> page(std::uint64_t first, std::size_t limit) const;

 private:
  balancer_run process_;
  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  logical_clock clock_;
  std::deque<event_record> ring_;
  std::map<event_id, event_budget> budgets_;
};

/// An event and whether it surely comes after the one before it.
struct ordered_event {
  event_record event;
  bool order_certain = true;
};

/// Merges the time lines of several processes by logical time.
std::vector<ordered_event> merge_events(std::vector<event_record> events);

}  // namespace rosemarydrum
