#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/cold_budget.h"
#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/handshake_health.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct placement_settings {
  std::string data_centre;
  /// Load that a flow to another data centre counts for, in slots.
  double remote_surcharge = 1.0;
  std::uint64_t seed = 1;
};

/// Why an upstream was chosen.
enum class placement_reason : std::uint8_t {
  least_loaded,
  /// It is cold, and nothing else can take the flow.
  cold,
  /// It was silent and is tried again.
  probe,
};

struct placed {
  upstream_index upstream{};
  placement_reason reason = placement_reason::least_loaded;
};

/// Chooses upstreams for new flows by the flows that this process has sent
/// them, and judges them by their answers.
class placement {
 public:
  placement(placement_settings settings, const upstream_directory& directory);

  /// Data centres that operators have taken out get no new flows.
  void set_out(const std::string& data_centre, bool out);
  bool is_out(const std::string& data_centre) const;
  /// Whether this process may send flows to cold upstreams at all, by how the
  /// fleet's budget is divided.
  void set_cold_share(std::function<bool(upstream_key)> is_entitled);

  /// An upstream of `service` for a new flow; `avoided` only if nothing else
  /// can take it. Nullopt if no upstream can.
  std::optional<placed> choose(const std::string& service,
                               std::optional<upstream_index> avoided,
                               time_point now);

  /// A flow has been placed at the upstream.
  void on_placed(const placed& where, time_point now);
  /// It has ended, or goes to another one.
  void on_ended(upstream_index upstream);
  /// The handshake sent at `sent` was answered, or not in time.
  void on_answered(upstream_index upstream, duration warmup, time_point sent,
                   time_point now);
  void on_unanswered(upstream_index upstream, time_point sent, time_point now);

  /// The upstream's entry has changed; `restarted` if by a new start.
  void on_record(upstream_index upstream, bool restarted);
  void forget(upstream_index upstream);

  std::uint32_t in_flight(upstream_index upstream) const;
  bool is_silent(upstream_index upstream) const;

 private:
  struct load {
    std::uint32_t in_flight = 0;
    handshake_health health;
    cold_budget cold;
    /// Treated as cold, because it may have been restarted.
    time_point recovering_until;
  };

  load& of(upstream_index upstream);
  bool accepts_flows(const known_upstream& known) const;
  double score(const known_upstream& known, const load& loaded) const;

  placement_settings settings_;
  const upstream_directory& directory_;
  std::set<std::string, std::less<>> out_;
  std::function<bool(upstream_key)> is_entitled_;
  std::vector<load> loads_;
  std::minstd_rand random_;
};

}  // namespace rosemarydrum
