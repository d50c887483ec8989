#pragma once

#include <functional>
#include <memory>

#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Reads values that peers have only announced, because they are too long for a
/// datagram. A stale read that returns the announced revision or a later one is
/// sufficient, and costs less than a linearizable one.
class value_reader {
 public:
  using receiver = std::function<void(const item_listing& listing)>;

  value_reader(kv_store& store, const item_replica& replica, receiver callback);
  ~value_reader();

  /// Starts the call that is due.
  void tick(time_point now);
  /// Number of consecutive attempts that did not return a missing value.
  int failures() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
