#pragma once

#include <functional>
#include <memory>

#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Reads values that peers have only announced, because they are too long for
/// their messages. A stale read that shows the announced revision, or a later
/// one, is as good as a linearizable one and cheaper.
class value_reader {
 public:
  using receiver = std::function<void(const item_listing& shown)>;

  value_reader(kv_store& store, const item_replica& replica, receiver to);
  ~value_reader();

  /// Starts the call that is due.
  void tick(time_point now);
  /// Attempts in a row that did not bring a missing value.
  int failures() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
