#pragma once

#include "rosemarydrum/forwarding/fading_count.h"
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
  /// What is known of the upstreams was up to date at this time.
  void set_confirmed(time_point confirmed) { confirmed_ = confirmed; }

  /// Whether nearly all of the latest new flows have failed. Without callers
  /// nothing shows that it has passed: the process is tried again after a
  /// while, each time a longer one, or when it is no longer cut off.
  bool is_unable(time_point now) const;
  /// Gives the process another chance, as when what it knows is fresh again.
  void reset();

  /// When it is tried again.
  time_point unable_until() const { return unable_until_; }
  /// Of the latest flows, when the last one was judged.
  int opened() const { return static_cast<int>(opened_.at(judged_at_)); }
  int failed() const { return static_cast<int>(failed_.at(judged_at_)); }

 private:
  static constexpr milliseconds flow_memory{200};

  void judge(time_point now);

  fading_count opened_{flow_memory};
  fading_count failed_{flow_memory};
  time_point judged_at_;
  time_point confirmed_;
  time_point unable_since_;
  time_point unable_until_;
  duration next_pause_;
};

}  // namespace rosemarydrum
