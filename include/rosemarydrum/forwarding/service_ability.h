#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Judges from the latest new flows whether this process can serve callers at
/// all. If it cannot reach any upstream, callers are better off elsewhere.
class service_ability {
 public:
  service_ability();

  /// A new flow reached an upstream.
  void on_opened(time_point now);
  /// A new flow was refused, or its opening packet was not answered.
  void on_failed(time_point now);

  /// Whether nearly all new flows of the latest period have failed. Without
  /// callers nothing shows that it has passed, so that it is tried again after
  /// a while, each time a longer one.
  bool is_unable(time_point now) const { return now < unable_until_; }
  /// When it is tried again.
  time_point unable_until() const { return unable_until_; }
  int opened() const { return opened_; }
  int failed() const { return failed_; }
  /// Gives the process another chance, as when what it knows is fresh again.
  void reset();

 private:
  void roll(time_point now);
  void judge(time_point now);

  time_point period_began_;
  int opened_ = 0;
  int failed_ = 0;
  time_point unable_until_;
  duration next_pause_;
};

}  // namespace rosemarydrum
