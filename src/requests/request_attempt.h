#pragma once

#include <cstddef>
#include <cstdint>

#include "requests/answer_assembly.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

enum class attempt_phase : std::uint8_t {
  /// Waits for a slot.
  asking,
  /// Has a slot and waits for the witness's record.
  granted,
  /// Sent to its upstream.
  sent,
};

/// One attempt of a request, from the ask for a slot to its release.
struct request_attempt {
  attempt_phase phase = attempt_phase::asking;
  bool is_hedge = false;
  time_point began;

  std::uint64_t ask = 0;
  /// The latest two copies of the ask. The decider may have answered either,
  /// so that the grant's validity counts from the earlier one.
  time_point asked_at;
  time_point previous_ask;
  /// 0: asks in the own data centre; n: in the n-th one of `spill_to`.
  std::size_t spill = 0;
  /// A data centre that has refused it may take it later.
  bool may_recover = false;

  balancer_run decider;
  grant_id grant{};
  upstream_run upstream;
  time_point run_deadline;

  /// Random; identifies this attempt at its upstream.
  std::uint32_t number = 0;
  time_point sent_at;
  /// The last part or the last round of resends.
  time_point last_progress;
  answer_assembly answer;
  std::uint16_t reported_load = 0;
};

}  // namespace rosemarydrum::detail
