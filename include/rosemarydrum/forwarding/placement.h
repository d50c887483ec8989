#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "rosemarydrum/forwarding/cold_flow_budget.h"
#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/flow_load.h"
#include "rosemarydrum/forwarding/flow_time_estimate.h"
#include "rosemarydrum/forwarding/handshake_health.h"
#include "rosemarydrum/forwarding/outlier_detector.h"
#include "rosemarydrum/forwarding/placement_choice.h"
#include "rosemarydrum/forwarding/restart_suspicion.h"
#include "rosemarydrum/forwarding/slow_start.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct placement_settings {
  std::string self;
  std::string data_centre;
  /// A cold upstream may get, in flows per second from the whole fleet, the
  /// rate of its service times `cold_factor` plus `cold_extra`.
  double cold_factor = 1.5;
  double cold_extra = 5;
  std::uint64_t seed = 1;
};

/// Added to the load of an upstream in another data centre, in flows. An
/// upstream of the own one with one flow more is preferred.
inline constexpr double remote_flow_penalty = 1.25;
/// Load of an open flow without a request, relative to one with a request.
inline constexpr double idle_flow_load = 1.0 / 16;
/// Load of one recent failure of an upstream, as counted by the members of this
/// data centre, beyond `ignored_failures`. New flows so move to upstreams, also
/// of other data centres, that reject fewer requests.
inline constexpr double failed_flow_load = 1.0 / 8;
inline constexpr double ignored_failures = 3;

/// An upstream that is first listed this long after the process's first one has
/// started or become reachable. Earlier ones may have run for long.
inline constexpr milliseconds first_listing_time{1000};

/// An upstream has entered or left slow start.
struct slow_start_change {
  upstream_index upstream{};
  bool entered = false;
};

/// Chooses upstreams for new flows by the load that this process has placed on
/// them, their flow times and their health.
class placement {
 public:
  placement(placement_settings settings, const upstream_directory& directory);

  /// The directory was up to date at this time.
  void set_confirmed(time_point confirmed) { confirmed_ = confirmed; }
  /// The store is back after an outage. All upstreams have written their
  /// entries again by then.
  void expect_entries(time_point complete) { entries_complete_ = complete; }
  /// Sets the members among which the flows to cold upstreams are divided.
  void set_members(const std::vector<std::string>& names);
  /// Data centres that operators have taken out of service get no new flows.
  void set_out(const std::string& data_centre, bool out);
  bool is_out(const std::string& data_centre) const;
  /// Treats all upstreams of a data centre as cold until then. Those of a data
  /// centre that comes back may be cold before their entries say so.
  void treat_as_cold(const std::string& data_centre, time_point until);

  /// Chooses an upstream of `service` for a new flow; nullopt if none can take
  /// it. `previous` did not answer the flow's opening packet; it is chosen only
  /// if `may_repeat` and no other upstream can take the flow.
  /// `cold_flows_per_second` is the configured rate of a cold upstream.
  std::optional<placement_choice> choose(const std::string& service,
                                         double cold_flows_per_second,
                                         std::optional<upstream_index> previous,
                                         bool may_repeat, time_point now);

  /// Adds an active flow to the upstream's load.
  void on_placed(upstream_index upstream, bool uses_cold_budget,
                 time_point now);
  /// Changes the load of a flow at the upstream.
  void on_load(upstream_index upstream, flow_load previous, flow_load load);
  /// Records the time from the start of a request to the end of its answer.
  void on_flow_time(upstream_index upstream, duration took, time_point now);
  /// Records that the answer of a request was whole. It is judged by the flow
  /// times recorded so far.
  void on_whole_answer(upstream_index upstream, duration took, time_point now);
  /// Records that the handshake sent at `sent` was answered. Returns true if
  /// the upstream had been silent; it then counts as cold for `warmup`.
  bool on_answered(upstream_index upstream, duration warmup, time_point sent,
                   time_point now);
  /// Records that the handshake sent at `sent` was not answered in time.
  /// Returns true if this makes the upstream silent.
  bool on_unanswered(upstream_index upstream, time_point sent, time_point now);

  /// Treats an upstream as cold that left a handshake of any member unanswered,
  /// until its entry or an earlier flow shows that it was not restarted. It is
  /// cold for `warmup` after a start. Returns true if it was not suspected
  /// before.
  bool suspect_restart(upstream_index upstream, time_point sent,
                       duration warmup, time_point now);
  /// Records that the upstream answered a caller of any member.
  void on_alive(upstream_index upstream, time_point answered);
  /// Records that the upstream answered at `answered` on a flow that was opened
  /// at `opened`.
  void on_flow_answered(upstream_index upstream, time_point opened,
                        time_point answered);

  /// Records that open flows of the upstream get no answers, or do again.
  void on_unresponsive(upstream_index upstream, time_point now);
  void on_responsive(upstream_index upstream, time_point now);

  /// Adds failed flows of the upstream. Returns true if this ejects it: it then
  /// gets new flows only if no other upstream can take them.
  bool on_failures(upstream_index upstream, std::uint32_t failures,
                   time_point now);
  /// The decayed number of failed flows of the upstream.
  double failures(upstream_index upstream, time_point now) const {
    return outliers_.failures_at(upstream, now);
  }
  /// Calls `restored` with each upstream whose ejection ends.
  template <typename Restored>
  void restore_ejected(time_point now, Restored&& restored) {
    outliers_.restore(now, [&](upstream_index upstream) {
      begin_slow_start(upstream, now);
      restored(upstream);
    });
  }

  /// Resets the handshake health of an upstream whose entry has changed. It
  /// enters slow start if it has started again or takes flows again, and leaves
  /// it if it takes none.
  void on_record(upstream_index upstream, time_point now);
  /// Resets the handshake health of all upstreams, when unanswered handshakes
  /// were caused by this process or its network.
  void reset_handshake_health();
  void forget(upstream_index upstream);

  /// Ends slow starts that have taken the longest time.
  void expire_slow_starts(time_point now);
  /// Returns the changes since the last call.
  std::vector<slow_start_change> take_slow_start_changes();
  /// Number of upstreams in slow start.
  std::size_t slow_starts() const;

  std::uint32_t in_flight(upstream_index upstream) const;
  /// Unanswered handshakes in a row of the upstream.
  int unanswered(upstream_index upstream) const;
  bool is_silent(upstream_index upstream) const;
  /// Counts the upstreams of a service by state.
  upstream_counts count_upstreams(const std::string& service,
                                  time_point now) const;

 private:
  struct upstream_state {
    /// Active flows.
    std::uint32_t in_flight = 0;
    std::uint32_t idle = 0;
    handshake_health health;
    /// When the latest flow within the cold flow budget was placed.
    time_point cold_flow_at;
    /// Counts as cold until then, because it may have been restarted.
    time_point assumed_cold_until;
    restart_suspicion restart;
    flow_time_estimate flow_time;
    slow_start pacing;
    /// As its latest entry states; nullopt if it takes no flows.
    std::optional<incarnation> run;
  };

  /// Candidates for a flow, in the order of preference.
  enum class candidate_group : std::uint8_t {
    regular,
    /// In slow start, without a turn.
    held_back,
    cold,
    last_resort,
    count
  };

  /// An upstream in slow start that can take the flow.
  struct starting_candidate {
    placement_choice choice;
    double rank = 0;
    bool has_turn = false;
  };

  /// Slots of warm upstreams.
  struct warm_slots {
    double local = 0;
    double remote = 0;
  };

  upstream_state& state_of(upstream_index upstream);
  bool is_cold(const known_upstream& known, const upstream_state& state,
               time_point now) const;
  /// Members notice a silent upstream at about the same time. A random start of
  /// the interval keeps them from retrying at the same time.
  void spread_retries(upstream_state& state, time_point now);
  /// Whether most upstreams of the data centre of `judged`, which has
  /// `failures` more, fail about as many requests.
  bool is_overloaded(std::span<const upstream_index> service,
                     upstream_index judged, std::uint32_t failures,
                     time_point now) const;
  bool is_within_cold_budget(double cold_flows_per_second,
                             upstream_key upstream, const upstream_state& state,
                             bool is_cold, time_point now) const;
  double score(const known_upstream& known, const upstream_state& state,
               double failures, const flow_time_estimate& service_flow_time,
               time_point now) const;
  bool is_remote(const known_upstream& known) const;
  candidate_group group_of(upstream_index index, const upstream_state& state,
                           bool is_cold, std::optional<upstream_index> previous,
                           time_point now) const;
  bool needs_relief(const placement_choice& regular,
                    const std::optional<placement_choice>& held_back,
                    time_point now) const;
  void earn_turns(const warm_slots& slots, time_point now);
  void spend_turns(const placement_choice& chosen, time_point now);
  void begin_slow_start(upstream_index upstream, time_point at);

  placement_settings settings_;
  const upstream_directory& directory_;
  cold_flow_budget cold_budget_;
  outlier_detector outliers_;
  std::set<std::string, std::less<>> out_data_centres_;
  /// Until when the upstreams of a data centre are treated as cold.
  std::map<std::string, time_point> cold_data_centres_;
  time_point confirmed_;
  time_point entries_complete_;
  std::vector<upstream_state> states_;
  std::map<std::string, flow_time_estimate> service_flow_time_;
  /// Upstreams in slow start among the candidates of the current flow.
  std::vector<starting_candidate> starting_;
  std::vector<slow_start_change> slow_start_changes_;
  std::optional<time_point> first_listed_at_;
  std::minstd_rand random_;
};

}  // namespace rosemarydrum
