#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"
#include "slots/wait_queue.h"

namespace rosemarydrum::detail {

/// Answered asks are remembered this long, so that a repeat on its way does
/// not take a second slot.
inline constexpr milliseconds keep_answered{1000};
/// Answered asks that are remembered; the oldest are forgotten first.
inline constexpr std::size_t max_answered = 65'536;

enum class ask_progress : std::uint8_t { waiting, granted, answered };

/// What has become of an ask.
struct ask_record {
  ask_progress progress = ask_progress::waiting;
  service_id service{};
  /// While it waits.
  queue_position position;
  /// Once granted.
  grant_id grant{};
  /// Once answered: the refusal, or none if it was granted or withdrawn.
  error_kind error = error_kind::none;
};

struct ask_key_hash {
  std::size_t operator()(const ask_key& key) const {
    return mix(mix(value_of(key.from.id), value_of(key.from.run)), key.ask);
  }
};

/// Recognises repeated asks.
class ask_history {
 public:
  /// The record of `key`; nullptr if it is not known.
  ask_record* find(const ask_key& key);
  ask_record& put(const ask_key& key, const ask_record& record);
  /// The ask needs no further work; repeats get `error` for a while.
  void finish(const ask_key& key, error_kind error, time_point now);
  void forget(const ask_key& key) { records_.erase(key); }
  /// Forgets the answered asks whose time is over.
  void tick(time_point now);

 private:
  struct answered_ask {
    ask_key key;
    time_point until;
  };

  void forget_oldest();

  std::unordered_map<ask_key, ask_record, ask_key_hash> records_;
  std::deque<answered_ask> answered_;
};

}  // namespace rosemarydrum::detail
