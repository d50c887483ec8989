#pragma once

#include <cstdint>

#include "log/event_logger.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/forwarding/fleet_agent.h"
#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/spread/replica_spread.h"
#include "rosemarydrum/store/item_replica.h"

namespace rosemarydrum {

/// Logs each change of the state that the control thread knows.
class state_journal {
 public:
  state_journal(event_logger& log, const item_replica& replica)
      : log_(log), replica_(replica) {}

  void on_change(const fleet_change& change, time_point now);
  /// Logs a malformed configuration.
  void on_rejected(revision changed, time_point now);
  void on_member(const kv_item& item, time_point now);
  void on_registered(bool written, time_point now);

  /// Called after each store call, whether it succeeded or failed.
  void on_store(error_kind error, time_point now);
  /// Called with the era of the store's latest answer; logs only changes.
  void on_era(store_era era, time_point now);
  void on_listed(const listing_effect& effect, time_point now);
  void on_kept(const kept_item& kept, time_point now);
  /// Logs a configuration that is older than the one in effect.
  void on_ignored(const fleet_change& change, time_point now);
  /// Called regularly; logs only changes since the last call.
  void on_state(bool fresh, bool reading, std::size_t rank, time_point now);
  void on_readiness(bool ready, std::string_view reason, time_point now);
  /// Called once a minute.
  void on_summary(std::size_t members, std::uint64_t flows, time_point now);
  void on_stall(duration stalled, time_point now);

 private:
  std::int64_t age_ms(time_point now) const;

  event_logger& log_;
  const item_replica& replica_;
  bool store_answers_ = true;
  time_point store_lost_at_;
  store_era era_{};
  bool fresh_ = true;
  time_point stale_since_;
  bool reading_ = false;
  bool ready_ = false;
  bool was_ready_ = false;
  std::uint64_t configuration_ = 0;
};

}  // namespace rosemarydrum
