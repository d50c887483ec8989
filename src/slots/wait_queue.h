#pragma once

#include <cstddef>
#include <map>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Identifies an ask. Its number is unique only for one run of the requester.
struct ask_key {
  balancer_run from;
  std::uint64_t ask = 0;

  friend bool operator==(const ask_key&, const ask_key&) = default;
};

struct waiting_ask {
  balancer_run from;
  slot_ask ask;
  /// The request must have ended by this time.
  time_point deadline;
  /// Arrival time of the ask or its latest repeat.
  time_point last_asked;

  ask_key key() const { return {from, ask.ask}; }
};

/// Queue order: higher priority first, then earlier deadline, then arrival.
struct queue_position {
  std::uint8_t priority = 0;
  time_point deadline;
  std::uint64_t arrival = 0;

  friend bool operator<(const queue_position& a, const queue_position& b) {
    if (a.priority != b.priority) {
      return a.priority > b.priority;
    }
    if (a.deadline != b.deadline) {
      return a.deadline < b.deadline;
    }
    return a.arrival < b.arrival;
  }
};

/// The asks for one service that wait for a slot, in queue order. Its user
/// limits the size.
class wait_queue {
 public:
  using map = std::map<queue_position, waiting_ask>;

  queue_position add(const waiting_ask& waiting) {
    const queue_position position{waiting.ask.priority, waiting.deadline,
                                  ++arrivals_};
    waiting_.emplace(position, waiting);
    return position;
  }
  map& waiting() { return waiting_; }
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

 private:
  std::uint64_t arrivals_ = 0;
  map waiting_;
};

}  // namespace rosemarydrum::detail
