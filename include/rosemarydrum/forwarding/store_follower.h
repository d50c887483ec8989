#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What the store is known to have held at one revision.
struct fleet_news {
  /// Changes up to `at`. With `complete`, all that the store held at that
  /// revision; otherwise all that changed after `after`.
  std::vector<fleet_change> changes;
  bool complete = false;
  revision after{};
  revision at{};
};

/// Reads what the store holds and follows its changes. Each answer proves that
/// nothing newer was in force when it was asked for.
class store_follower {
 public:
  /// Called with each answer, also without changes. `asked` is when the call
  /// that it answers was made.
  using receiver = std::function<void(fleet_news news, time_point asked)>;

  store_follower(kv_store& store, const fleet_schema& schema,
                 receiver on_news);
  ~store_follower();

  /// Starts or repeats the calls that are due.
  void tick(time_point now);
  /// Whether the store's last answer was a failure.
  bool is_failing() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
