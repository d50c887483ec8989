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
/// A peer of the own data centre is live if it has echoed a heartbeat sent to
/// it within this time.
inline constexpr milliseconds suspicion_timeout{1000};
/// Number of balancers in each other data centre that a balancer selects as
/// heartbeat peers.
inline constexpr std::size_t remote_heartbeat_peers = 2;
inline constexpr milliseconds remote_heartbeat_interval{1000};
inline constexpr milliseconds remote_suspicion_timeout{3500};

/// Maximum time that a request may run at an upstream. A grant that a new
/// decider does not know of has ended after this time, so it bounds the
/// quarantine.
inline constexpr milliseconds max_run_time{3000};

/// Failure detector for the configured balancers. A peer is live only if it
/// echoes the heartbeats sent to it, so that both ends of a one-way network
/// partition consider each other dead.
///
/// The balancers of one data centre form a cell.
class membership {
 public:
  membership(balancer_run self, data_centre_id data_centre);

  /// Replaces the set of peers by the balancers that the configuration lists.
  /// Keeps the state of peers that are still listed.
  void set_configured(const configuration& current);

  /// Processes a heartbeat. Returns true if it is the first one from a new run
  /// of the peer. Heartbeats from unconfigured balancers are ignored.
  bool on_heartbeat(balancer_run from, const heartbeat& beat, time_point now,
                    actions& out);

  /// Returns the peers whose heartbeat is due. For each, the caller sends
  /// `next_heartbeat` with the lease fields filled in. Also marks peers that
  /// have not echoed in time as suspected and emits `peer_suspected` for them.
  std::vector<balancer_id> due_heartbeat_peers(time_point now, actions& out);

  /// Returns the next heartbeat for `to` and records `now` as its send time.
  heartbeat next_heartbeat(balancer_id to, revision configuration, bool leaving,
                           time_point now);

  /// Returns when heartbeat `sequence` was sent to `to`, or nullopt if its send
  /// time is no longer kept.
  std::optional<time_point> sent_at(balancer_id to,
                                    std::uint64_t sequence) const;

  bool is_live(balancer_id id, time_point now) const;
  /// Returns whether the balancer is live and not leaving.
  bool is_serving(balancer_id id, time_point now) const;
  /// Returns the current run of a balancer, 0 if unknown.
  incarnation run_of(balancer_id id) const;

  /// Returns all configured members of a data centre, including self, ordered
  /// by id.
  std::vector<balancer_id> configured(data_centre_id data_centre) const;
  /// Returns the serving members of a data centre, including self, ordered by
  /// id.
  std::vector<balancer_id> serving(data_centre_id data_centre,
                                   time_point now) const;

  /// Returns whether `id` is configured in the own data centre.
  bool is_in_cell(balancer_id id) const;
  /// Returns the members of the own data centre, including self, whose requests
  /// may still be running: those that have echoed a heartbeat within
  /// `max_run_time`. Returns all members if this balancer, started at
  /// `started`, has not been up for that long, because it cannot know when the
  /// others were live.
  std::vector<balancer_id> may_have_running_requests(time_point started,
                                                     time_point now) const;
  /// Returns whether the peer has restarted less than `max_run_time` ago, so
  /// that requests of its previous run may still be running.
  bool restarted_recently(balancer_id id, time_point now) const;

  bool is_configured(balancer_id id) const { return peers_.contains(id); }
  data_centre_id own_data_centre() const { return data_centre_; }

 private:
  struct peer_entry {
    data_centre_id data_centre{};
    incarnation run{};
    /// Delayed heartbeats from this run are ignored.
    incarnation previous_run{};
    /// When the first heartbeat of the current run arrived.
    time_point run_since;
    bool leaving = false;
    bool suspected = true;
    std::uint64_t last_sent = 0;
    std::uint64_t last_received = 0;
    std::uint64_t last_echo = 0;
    /// The peer expects an echo, even if it is not a heartbeat peer of this
    /// balancer.
    bool echo_pending = false;
    time_point last_echoed;
    time_point next_due;
    /// Send times of the latest heartbeats, by sequence.
    std::map<std::uint64_t, time_point> sent_times;
  };

  /// Returns the suspicion timeout that applies to `peer`.
  milliseconds timeout_of(const peer_entry& peer) const;
  /// Returns whether heartbeats are sent to the peer regularly.
  bool is_heartbeat_peer(balancer_id id, const peer_entry& peer,
                         time_point now) const;

  balancer_run self_;
  data_centre_id data_centre_;
  std::map<balancer_id, peer_entry> peers_;
};

}  // namespace rosemarydrum
