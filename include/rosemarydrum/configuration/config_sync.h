#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Maximum size of a push or of the answer to a pull. Either holds all
/// documents that changed within a range of revisions. Its first item has an
/// empty key and the revision just before the range; an optional last item with
/// an empty key has the last revision of the range. Documents without a range
/// are applied, but do not raise `configuration::highest`, because earlier ones
/// may be lost.
inline constexpr std::size_t max_push_bytes = 32'768;
/// Maximum number of messages of one push; peers pull the rest.
inline constexpr std::size_t max_push_messages = 8;
/// An unanswered pull is repeated after this time.
inline constexpr milliseconds pull_retry{500};
/// Wait before a pull, as a push may arrive after the heartbeat that names its
/// revision.
inline constexpr milliseconds pull_delay{200};
/// Time for peers to report their revisions after the start: three heartbeats.
inline constexpr milliseconds ready_delay{1000};
/// A change reaches all balancers within this time.
inline constexpr milliseconds max_sync_time{3000};

/// The configuration in force on this balancer, and its replication among
/// balancers. The revision of each document only grows, whether it comes from
/// the store or a peer.
class config_sync {
 public:
  explicit config_sync(time_point started);
  ~config_sync();

  /// Applies those documents that are newer and decode; returns true if the
  /// configuration has changed. Documents from the store are all that changed
  /// after `current().highest` or an earlier revision, up to the highest one
  /// given; they are pushed to `peers` unless this is the initial load.
  bool on_documents(std::span<const document> documents, bool from_store,
                    std::span<const balancer_id> peers, time_point now,
                    actions& out);

  /// Handles the revision in a peer's heartbeat; pulls if the peer is ahead.
  void on_peer_revision(balancer_id peer, revision peer_revision,
                        time_point now, actions& out);
  void on_pull(balancer_id from, const config_pull& pull, actions& out);
  /// Starts due pulls and repeats unanswered ones.
  void tick(time_point now, actions& out);

  const configuration& current() const;
  /// True once `ready_delay` has passed and the configuration has reached the
  /// highest revision reported by the store and the recently heard peers. Stays
  /// true from then on.
  bool is_ready(time_point now) const;
  /// Whether there may be documents that this balancer lacks: it is not ready,
  /// or a peer has been ahead of it for less than `max_sync_time`.
  bool may_lack_documents(time_point now) const;
  /// The highest revision reported by the store or a peer.
  revision highest_known() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
