#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"
#include "slots/wait_queue.h"

namespace rosemarydrum::detail {

/// How long answered asks are kept, so that a repeated ask that arrives late
/// does not take a second slot.
inline constexpr milliseconds answered_retention{1000};
/// Maximum number of answered asks kept; the oldest are evicted first.
inline constexpr std::size_t max_answered = 65'536;

enum class ask_progress : std::uint8_t { waiting, granted, answered };

/// The state of an ask.
struct ask_record {
  ask_progress progress = ask_progress::waiting;
  service_id service{};
  /// Valid while the ask is waiting.
  queue_position position;
  /// Valid once granted.
  grant_id grant{};
  /// Valid once answered: the reason for a refusal, or none if the grant has
  /// ended or the ask was withdrawn.
  error_kind error = error_kind::none;
};

struct ask_key_hash {
  std::size_t operator()(const ask_key& key) const {
    return mix(mix(value_of(key.from.id), value_of(key.from.run)), key.ask);
  }
};

/// Records asks and their answers to recognise repeated asks.
class ask_history {
 public:
  /// Returns the record of `key`, or nullptr if there is none.
  ask_record* find(const ask_key& key);
  /// Adds or replaces the record of `key`.
  ask_record& put(const ask_key& key, const ask_record& record);
  /// Marks the ask as answered. Repeats get `error` until the record is
  /// evicted.
  void finish(const ask_key& key, error_kind error, time_point now);
  void forget(const ask_key& key) { records_.erase(key); }
  /// Evicts the answered asks whose retention period has ended.
  void tick(time_point now);

 private:
  struct answered_ask {
    ask_key key;
    time_point until;
  };

  void evict_oldest();

  std::unordered_map<ask_key, ask_record, ask_key_hash> records_;
  std::deque<answered_ask> answered_;
};

}  // namespace rosemarydrum::detail
