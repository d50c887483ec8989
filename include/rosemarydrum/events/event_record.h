#pragma once

#include <cstdint>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Event numbers in the log and the time line (docs/events.md).
enum class event_id : std::uint16_t {
  process_started = 100,
  process_ready = 101,
  shutdown_started = 102,
  shutdown_finished = 103,
  settings_reloaded = 104,
  settings_rejected = 105,
  process_stalled = 106,
  log_lines_dropped = 107,
  ready_changed = 108,
  configuration_applied = 200,
  configuration_ignored = 201,
  store_lost = 202,
  store_back = 203,
  document_rejected = 204,
  store_restored = 205,
  store_listed = 206,
  lost_item_kept = 207,
  store_reading_started = 210,
  store_reading_stopped = 211,
  knowledge_stale = 212,
  knowledge_fresh = 213,
  knowledge_confirmed = 214,
  peer_joined = 300,
  peer_suspected = 301,
  peer_leaving = 302,
  peer_message_refused = 303,
  connection_replaced = 304,
  member_listed = 320,
  member_removed = 321,
  member_registered = 322,
  lease_acquired = 310,
  lease_lost = 311,
  lease_handed_over = 312,
  upstream_cold = 400,
  upstream_warm = 401,
  upstream_draining = 402,
  upstream_out = 403,
  upstream_listed = 410,
  upstream_unreadable = 411,
  upstream_gone = 412,
  upstream_silent = 413,
  upstream_answers = 414,
  upstream_ejected = 415,
  upstream_restored = 416,
  upstream_unresponsive = 417,
  upstream_slow_start = 418,
  upstream_full_pace = 419,
  upstream_suspected = 420,
  request_refused = 500,
  request_retried = 501,
  request_hedged = 502,
  request_closed = 503,
  request_unknown = 504,
  packet_refused = 505,
  flow_bound = 510,
  flow_lost = 511,
  data_centre_out = 600,
  data_centre_in = 601,
  flow_opened = 700,
  flow_placed_again = 701,
  flow_refused = 702,
  flow_unanswered = 703,
  flow_discarded = 704,
  flow_slow = 705,
  flow_failed = 706,
  flow_stalled = 707,
  flow_reset = 708,
  flow_retagged = 709,
  service_unable = 710,
  service_able = 711,
  flows_limited = 712,
  flows_unlimited = 713,
};

/// One entry of the time line. Fields that do not apply are 0 or empty.
struct event_record {
  event_id id{};
  balancer_run process;
  /// Grows by one for each event of a process run.
  std::uint64_t sequence = 0;
  /// Lamport clock: larger than that of all events that it may depend on.
  std::uint64_t logical_time = 0;
  unix_ms wall_time = 0;
  service_id service{};
  flow_id flow{};
  request_id request{};
  upstream_id upstream{};
  data_centre_id data_centre{};
  revision configuration{};
  /// The shard, peer or error that the event is about.
  std::uint64_t detail = 0;
  /// Events of this kind that the rate limit suppressed before this one.
  std::uint32_t suppressed = 0;

  friend bool operator==(const event_record&, const event_record&) = default;
};

}  // namespace rosemarydrum
