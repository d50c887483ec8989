#pragma once

#include "rosemarydrum/forwarding/decaying_count.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Decides from the outcome of recent new flows whether this process can serve
/// callers. If it reaches no upstream, other forwarders should get its callers.
class service_ability {
 public:
  service_ability();

  /// Records a new flow that reached an upstream.
  void on_opened(time_point now);
  /// Records a new flow that was refused, or whose opening packet was not
  /// answered.
  void on_failed(time_point now);
  /// The upstream directory was up to date at this time.
  void set_confirmed(time_point confirmed) { confirmed_ = confirmed; }

  /// Whether nearly all recent new flows have failed. An unable process gets no
  /// callers and cannot observe its recovery, so it counts as able again after
  /// a pause, which doubles each time up to a maximum. It stays unable for
  /// longer while its directory gets no updates.
  bool is_unable(time_point now) const;
  /// Ends the unable state and resets the pause, for example when the directory
  /// is fresh again.
  void reset();

  /// End of the current pause.
  time_point unable_until() const { return unable_until_; }
  /// Decayed numbers of opened and failed flows at the time of the latest one.
  int opened() const { return static_cast<int>(opened_.at(evaluated_at_)); }
  int failed() const { return static_cast<int>(failed_.at(evaluated_at_)); }

 private:
  static constexpr milliseconds decay_time_constant{200};

  void update_state(time_point now);

  decaying_count opened_{decay_time_constant};
  decaying_count failed_{decay_time_constant};
  time_point evaluated_at_;
  time_point confirmed_;
  time_point unable_since_;
  time_point unable_until_;
  duration next_pause_;
};

}  // namespace rosemarydrum
