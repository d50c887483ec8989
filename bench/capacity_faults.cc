#include <algorithm>

#include "capacity_cell.h"
#include "capacity_parts.h"
#include "capacity_sizes.h"
#include "capacity_slope.h"

namespace rosemarydrum::bench {
namespace {

// Exceeds every lease and the longest run time: a shard without a decider after
// this time never gets one.
constexpr int observed_ms = 12'000;

/// A time is `observed_ms` if its event did not occur within that time.
struct fault_times {
  int noticed_ms = observed_ms;
  int replaced_ms = observed_ms;
};

/// Returns the times until no other member counts the faulty one as live, and
/// until the other members decide all shards.
fault_times measure_fault(fault kind, std::uint32_t members,
                          milliseconds phase) {
  cell all(members, 0);
  require(all.is_settled(revision(1)), "cell did not settle before the fault");
  all.advance(phase);
  all.set_fault(kind);
  fault_times times;
  for (int passed = 10; passed < observed_ms; passed += 10) {
    all.advance(milliseconds(10));
    if (times.noticed_ms == observed_ms && !all.is_faulty_live()) {
      times.noticed_ms = passed;
    }
    if (times.replaced_ms == observed_ms &&
        all.decided_by_others() == shard_count) {
      times.replaced_ms = passed;
    }
  }
  return times;
}

}  // namespace

void measure_faults() {
  slope silent_noticed("silent-noticed-time", "ms/member");
  slope silent_replaced("silent-replaced-time", "ms/member");
  slope deaf_noticed("deaf-noticed-time", "ms/member");
  slope deaf_replaced("deaf-replaced-time", "ms/member");
  slope mute_noticed("mute-noticed-time", "ms/member");
  slope mute_replaced("mute-replaced-time", "ms/member");
  struct row {
    fault kind;
    slope& noticed;
    slope& replaced;
  };
  for (auto& [kind, noticed, replaced] :
       {row{fault::silent, silent_noticed, silent_replaced},
        row{fault::deaf, deaf_noticed, deaf_replaced},
        row{fault::mute, mute_noticed, mute_replaced}}) {
    for (const std::uint32_t members : {4, 8, 16, 32}) {
      // Keeps the maximum over the phases of the heartbeat.
      fault_times longest{0, 0};
      for (int phase = 0; phase < 300; phase += 60) {
        const auto times = measure_fault(kind, members, milliseconds(phase));
        longest.noticed_ms = std::max(longest.noticed_ms, times.noticed_ms);
        longest.replaced_ms = std::max(longest.replaced_ms, times.replaced_ms);
      }
      noticed.add(members, longest.noticed_ms);
      replaced.add(members, longest.replaced_ms);
    }
    noticed.print();
    replaced.print();
  }
}

}  // namespace rosemarydrum::bench
