#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "metrics/duration_histogram.h"
#include "rosemarydrum/forwarding/packet_verdict.h"
#include "rosemarydrum/forwarding/placement_choice.h"

namespace rosemarydrum {

/// Metrics of the data thread since the start of the process.
struct data_metrics {
  std::uint64_t packets_received = 0;
  std::uint64_t packets_forwarded = 0;
  std::uint64_t sends_failed = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(verdict_reason::count)>
      discarded{};
  std::array<std::uint64_t, static_cast<std::size_t>(verdict_reason::count)>
      resets{};
  std::array<std::uint64_t, placement_reason_names.size()> placed{};
  std::uint64_t placed_again = 0;
  std::uint64_t flows_retagged = 0;
  std::uint64_t flows_opened = 0;
  std::uint64_t flows_ended = 0;
  std::uint64_t flows_unanswered = 0;
  /// Flows placed by this process with a request that failed: its response was
  /// far shorter than usual for the route, or timed out.
  std::uint64_t flows_failed = 0;
  /// Requests whose data was sent again and that still had no answer.
  std::uint64_t flows_stalled = 0;
  std::uint64_t upstreams_unresponsive = 0;
  /// How often the new flows of a priority were limited because of an overload.
  std::uint64_t flow_limits_set = 0;
  std::uint64_t upstreams_ejected = 0;
  std::uint64_t upstreams_restored = 0;
  std::uint64_t upstreams_silent = 0;
  std::uint64_t upstreams_answered = 0;
  std::uint64_t slow_starts = 0;
  /// Current number of upstreams in slow start.
  std::uint64_t upstreams_in_slow_start = 0;
  std::uint64_t stalls = 0;
  /// Current number of flows.
  std::uint64_t flows = 0;
  /// Time from a flow's first packet to the caller's answer to the upstream.
  duration_histogram handshake;
  /// Time from a flow's first packet to the first data of its caller.
  duration_histogram first_data;
  /// Time from a flow's first packet until the caller ends the flow, for flows
  /// with one request.
  duration_histogram flow_time;
  /// Delay of the thread's timer behind its expiry.
  duration_histogram lateness;
};

/// Snapshot of the metrics of the control thread.
struct control_metrics {
  bool ready = false;
  bool reading = false;
  std::uint64_t configuration = 0;
  std::uint64_t revision = 0;
  double knowledge_age_seconds = 0;
  std::uint64_t members = 0;
  std::uint64_t items = 0;
  /// Items that were ignored, because they differ from later ones.
  std::uint64_t items_outdated = 0;
  /// Items whose version in force the restored store has lost.
  std::uint64_t items_kept = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t messages_malformed = 0;
  std::uint64_t sends_failed = 0;
  std::uint64_t fetches = 0;
  std::uint64_t fetches_failed = 0;
  std::uint64_t log_lines_dropped = 0;
};

}  // namespace rosemarydrum
