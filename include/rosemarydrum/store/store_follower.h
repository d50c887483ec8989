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
  /// One call that says whether anything has changed.
  check,
  /// Hear of each change at once.
  follow,
};

struct store_follower_settings {
  /// A watch waits this long, which bounds the age of what is known.
  milliseconds watch_wait{1000};
  /// All items are listed again this often while following, in case that a
  /// watch has left something out.
  seconds audit_interval{10};
};

/// Keeps an item_replica up to date from the store.
class store_follower {
 public:
  struct receiver {
    /// What the store answered to a call that was made at `asked`.
    std::function<void(const item_listing& shown, time_point asked)> on_answer;
    std::function<void(error_kind error)> on_failure;
  };

  store_follower(kv_store& store, const item_replica& replica,
                 store_follower_settings settings, receiver to);
  ~store_follower();

  /// Starts the calls that are due.
  void tick(follow_mode mode, time_point now);
  /// Failures since the last answer.
  int failures() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
