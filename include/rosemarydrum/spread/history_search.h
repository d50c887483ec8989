#pragma once

#include <vector>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Decides when a process asks other members for what the store does not list:
/// recent removals, and versions that were lost in a restore. Members that have
/// started together know none of it, so that it asks until the answers reach
/// back far enough.
class history_search {
 public:
  /// Handles the first items, or items that were read after a gap. From now on
  /// this process knows all changes after `at`, and none before.
  void begin(revision at, time_point now);
  /// Asks again, because the store may have lost versions.
  void repeat();

  /// Whether to ask another member now.
  bool is_due(time_point now) const;
  /// Whether the next one should be of this data centre.
  bool prefers_local() const { return asks_ % 2 == 0; }
  /// Members that need not be asked again for now.
  const std::vector<endpoint>& asked() const { return asked_; }
  /// Returns the time in which the member should answer.
  duration on_asked(const endpoint& member);
  /// Handles the end of the call without an answer.
  void on_failure() { is_pending_ = false; }
  /// Handles the answer of a member at revision `at` that knows all removals of
  /// the time `covered`.
  void on_answer(revision at, duration covered, time_point now);
  /// All known members have been asked.
  void on_all_asked(time_point now);

  /// Whether what this process knows is too short for placing flows, and
  /// answers may come soon.
  bool is_awaited(time_point now) const;
  /// For how long this process knows all removals.
  duration covered(time_point now) const;

 private:
  bool wants_more(time_point now) const;

  bool has_begun_ = false;
  bool is_pending_ = false;
  /// The member that was asked last.
  endpoint pending_{};
  /// Revision and time from which this process has seen all changes itself.
  revision seen_from_{};
  /// All removals since then are known.
  time_point known_since_;
  time_point awaited_until_;
  time_point next_ask_;
  int asks_ = 0;
  int answers_ = 0;
  std::vector<endpoint> asked_;
};

}  // namespace rosemarydrum
