#pragma once

#include <cstddef>
#include <cstdint>

#include "requests/answer_assembly.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

enum class attempt_phase : std::uint8_t {
  /// Waits for a slot.
  asking,
  /// Has a slot and waits until the witness has recorded the request.
  granted,
  /// Sent to its upstream.
  sent,
};

/// One attempt of a request, from the ask for a slot to the slot's release.
struct request_attempt {
  attempt_phase phase = attempt_phase::asking;
  bool is_hedge = false;
  time_point started_at;

  /// Number of the ask; its repeats have the same.
  std::uint64_t ask = 0;
  /// Times of the latest two copies of the ask. The decider may have answered
  /// either, so that the grant's validity counts from the earlier one.
  time_point asked_at;
  time_point previous_asked_at;
  /// Where the ask goes: 0 for the own data centre, n for the n-th one of
  /// `spill_to`.
  std::size_t spill_index = 0;
  /// A data centre has refused the ask only for the moment, so that it is worth
  /// asking all of them again.
  bool may_recover = false;

  balancer_run decider;
  grant_id grant{};
  upstream_run upstream;
  time_point run_deadline;

  /// Random and not 0; identifies this attempt at its upstream.
  std::uint32_t number = 0;
  time_point sent_at;
  /// When the last part arrived or was last requested again.
  time_point last_progress;
  answer_assembly answer;
  std::uint16_t reported_load = 0;
};

}  // namespace rosemarydrum::detail
