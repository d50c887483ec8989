#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosemarydrum/forwarding/failing_upstreams.h"
#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/fleet_share.h"
#include "rosemarydrum/forwarding/flow_time_estimate.h"
#include "rosemarydrum/forwarding/handshake_health.h"
#include "rosemarydrum/forwarding/placed.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct placement_settings {
  std::string self;
  std::string data_centre;
  /// What a cold upstream bears, in flows a second of the whole fleet: this
  /// many times what its service states, and so many more.
  double cold_factor = 1.5;
  double cold_extra = 5;
  std::uint64_t seed = 1;
};

/// Load that a flow to another data centre counts for, in flows.
inline constexpr double remote_surcharge = 1.0;

/// Chooses upstreams for new flows by the flows that this process has sent
/// them, and judges them by their answers.
class placement {
 public:
  placement(placement_settings settings, const upstream_directory& directory);

  /// The upstreams' entries were up to date at this time.
  void set_confirmed(time_point confirmed) { confirmed_ = confirmed; }
  /// All members of the fleet; cold upstreams are shared out among them.
  void set_members(const std::vector<std::string>& names);
  /// Data centres that operators have taken out get no new flows.
  void set_out(const std::string& data_centre, bool out);
  bool is_out(const std::string& data_centre) const;
  /// The upstreams of a data centre that comes back may be cold although their
  /// entries do not say so yet.
  void spare(const std::string& data_centre, duration time, time_point now);

  /// An upstream of `service` for a new flow. `before` has not answered the
  /// flow; it is chosen only if nothing else can take it, or not at all.
  /// `cold_rate` is what the service states that a cold upstream bears, in
  /// flows a second. Nullopt if no upstream can take the flow.
  std::optional<placed> choose(const std::string& service, double cold_rate,
                               std::optional<upstream_index> before,
                               bool may_repeat, time_point now);

  /// A flow has been placed at the upstream.
  void on_placed(upstream_index upstream, bool uses_cold_share, time_point now);
  /// It has ended, or goes to another one.
  void on_ended(upstream_index upstream);
  /// A flow's request took so long at the upstream.
  void on_flow_time(upstream_index upstream, duration took, time_point now);
  /// The handshake sent at `sent` was answered, or not in time.
  /// Returns true if the upstream had been silent.
  bool on_answered(upstream_index upstream, duration warmup, time_point sent,
                   time_point now);
  /// Returns true if the upstream has become silent.
  bool on_unanswered(upstream_index upstream, time_point sent, time_point now);

  /// So many flows of the upstream have failed. Returns true if it is ejected:
  /// it gets new flows only if no other upstream can take them.
  bool on_failures(upstream_index upstream, std::uint32_t failures,
                   time_point now);
  /// Failures of the upstream that are not forgotten yet.
  double failures(upstream_index upstream, time_point now) const {
    return failing_.level(upstream, now);
  }
  /// Calls `restored` with each ejected upstream that may get flows again.
  template <typename Restored>
  void restore_ejected(time_point now, Restored&& restored) {
    failing_.restore(now, std::forward<Restored>(restored));
  }

  /// The upstream's entry has changed.
  void on_record(upstream_index upstream);
  /// No upstream counts as silent, as when the cause was this process.
  void forget_silence();
  void forget(upstream_index upstream);

  std::uint32_t in_flight(upstream_index upstream) const;
  /// Handshakes in a row that the upstream has not answered.
  int unanswered(upstream_index upstream) const;
  bool is_silent(upstream_index upstream) const;
  /// Why the upstreams of a service cannot take a flow.
  upstream_census census(const std::string& service, time_point now) const;

 private:
  struct load {
    std::uint32_t in_flight = 0;
    handshake_health health;
    /// The latest flow that used a share of what a cold upstream bears.
    time_point cold_flow_at;
    /// Treated as cold, because it may have been restarted.
    time_point spared_until;
    flow_time_estimate flow_time;
  };

  load& of(upstream_index upstream);
  bool has_cold_share(double cold_rate, upstream_key upstream,
                      const load& loaded, bool is_cold, time_point now) const;
  double score(const known_upstream& known, const load& loaded,
               const flow_time_estimate& usual, time_point now) const;

  placement_settings settings_;
  const upstream_directory& directory_;
  fleet_share share_;
  failing_upstreams failing_;
  std::set<std::string, std::less<>> out_;
  time_point confirmed_;
  std::vector<load> loads_;
  std::map<std::string, flow_time_estimate> service_flow_time_;
  std::minstd_rand random_;
};

}  // namespace rosemarydrum
