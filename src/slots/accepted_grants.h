#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Identifies a grant. Its number is unique only for one run of the decider.
struct grant_key {
  balancer_run decider;
  grant_id grant{};

  friend bool operator==(const grant_key&, const grant_key&) = default;
};

struct grant_key_hash {
  std::size_t operator()(const grant_key& key) const {
    return mix(mix(value_of(key.decider.id), value_of(key.decider.run)),
               value_of(key.grant));
  }
};

/// The most recently accepted grants. Detects duplicates of a decider's answer,
/// which must not release a slot that is in use or has been released.
class accepted_grants {
 public:
  /// Returns false if the grant has been accepted before.
  bool accept(const grant_key& key) {
    if (!accepted_.insert(key).second) {
      return false;
    }
    order_.push_back(key);
    if (order_.size() > capacity) {
      accepted_.erase(order_.front());
      order_.pop_front();
    }
    return true;
  }

 private:
  // A balancer grants at most a few thousand slots per second, and a duplicate
  // arrives within seconds.
  static constexpr std::size_t capacity = 65'536;

  std::unordered_set<grant_key, grant_key_hash> accepted_;
  std::deque<grant_key> order_;
};

}  // namespace rosemarydrum::detail
