#pragma once

#include <functional>
#include <memory>

#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class follow_mode : std::uint8_t {
  /// No calls.
  idle,
  /// A single call that checks for changes.
  check,
  /// Watches all items, to receive each change at once.
  follow,
};

struct store_follower_settings {
  /// Longest time that a watch waits for changes; bounds the age of the
  /// replica.
  milliseconds watch_wait{1000};
  /// While following, all items are listed at this interval, in case a watch
  /// has missed a change.
  seconds relist_interval{10};
};

/// Keeps an item_replica up to date from the store.
class store_follower {
 public:
  struct receiver {
    /// Receives an answer that includes all changes up to the time `as_of`.
    std::function<void(const item_listing& listing, time_point as_of)>
        on_answer;
    std::function<void(error_kind error)> on_failure;
  };

  store_follower(kv_store& store, const item_replica& replica,
                 store_follower_settings settings, receiver callbacks);
  ~store_follower();

  /// Starts the calls that are due.
  void tick(follow_mode mode, time_point now);
  /// Number of failures since the last answer.
  int failures() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
