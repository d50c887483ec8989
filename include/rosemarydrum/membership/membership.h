#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

inline constexpr milliseconds heartbeat_interval{300};
/// A peer is live while it has echoed a heartbeat of ours in this time.
inline constexpr milliseconds suspicion_timeout{1000};
/// Balancers of each other data centre that get heartbeats, and how often.
inline constexpr std::size_t remote_contacts = 2;
inline constexpr milliseconds remote_heartbeat_interval{1000};
inline constexpr milliseconds remote_suspicion_timeout{3500};

/// Longest time that a request runs at an upstream; an unknown grant has ended
/// by then. It bounds the quarantine of a new decider.
inline constexpr milliseconds max_run_time{3000};

/// Which balancers can be reached both ways. A peer that is heard but does not
/// echo our heartbeats counts as dead, so both ends of a one-way cut agree.
class membership {
 public:
  membership(balancer_run self, data_centre_id data_centre);

  /// The balancers that the data centres' documents list.
  void set_configured(const configuration& current);

  /// Notes a heartbeat. Returns true if it is the first of a new run.
  bool on_heartbeat(balancer_run from, const heartbeat& beat, time_point now,
                    actions& out);

  /// The peers whose heartbeat is due now. For each, the caller sends
  /// `next_heartbeat` with the lease fields filled in.
  std::vector<balancer_id> due(time_point now, actions& out);

  /// A numbered heartbeat for `to`; remembers when it was sent.
  heartbeat next_heartbeat(balancer_id to, revision configuration, bool leaving,
                           time_point now);

  /// When the heartbeat `sequence` to `to` was sent; nullopt if too long ago.
  std::optional<time_point> sent_at(balancer_id to,
                                    std::uint64_t sequence) const;

  bool is_live(balancer_id id, time_point now) const;
  /// Live and not leaving.
  bool is_serving(balancer_id id, time_point now) const;
  /// The present run of a peer, 0 if none has been heard of.
  incarnation run_of(balancer_id id) const;

  /// All configured members of a data centre, self included, by id.
  std::vector<balancer_id> configured(data_centre_id data_centre) const;
  /// The serving members of a data centre, self included, by id.
  std::vector<balancer_id> serving(data_centre_id data_centre,
                                   time_point now) const;

  /// Whether `id` is listed in the own data centre.
  bool is_in_cell(balancer_id id) const;
  /// The configured members of the own data centre, self included, whose
  /// requests may still run: those that have been live in the last
  /// `max_run_time`. A balancer that is younger than that, by `started`, knows
  /// nothing of the others and counts all.
  std::vector<balancer_id> possibly_running(time_point started,
                                            time_point now) const;
  /// Whether the peer's run has taken the place of another one less than
  /// `max_run_time` ago; the requests of the old run may still run.
  bool replaced_recently(balancer_id id, time_point now) const;

  bool is_configured(balancer_id id) const { return peers_.contains(id); }
  data_centre_id own_data_centre() const { return data_centre_; }

 private:
  struct peer {
    data_centre_id data_centre{};
    incarnation run{};
    /// Delayed heartbeats of the run before are ignored.
    incarnation previous_run{};
    /// When the present run was first heard of.
    time_point run_since;
    bool leaving = false;
    bool suspected = true;
    std::uint64_t last_sent = 0;
    std::uint64_t last_received = 0;
    std::uint64_t last_echo = 0;
    /// It waits for an echo, although it may not be a contact of ours.
    bool owes_echo = false;
    time_point last_echoed;
    time_point next_due;
    /// When the latest heartbeats were sent, by sequence.
    std::map<std::uint64_t, time_point> sent_times;
  };

  milliseconds timeout_of(const peer& known) const;
  bool is_contact(balancer_id id, const peer& known, time_point now) const;

  balancer_run self_;
  data_centre_id data_centre_;
  std::map<balancer_id, peer> peers_;
};

}  // namespace rosemarydrum
