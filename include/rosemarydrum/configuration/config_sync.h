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

/// A push or the answer to a pull holds all documents that changed within a
/// range of revisions: its first item has an empty key and the revision that
/// the range follows; a last item with an empty key, if any, has its end.
/// Documents without that range are applied, but do not raise
/// `configuration::highest`, because others may have been lost before them.
inline constexpr std::size_t max_push_bytes = 32'768;
/// Messages of one push; what is left is pulled.
inline constexpr std::size_t max_push_messages = 8;
/// A peer is not asked again for this long.
inline constexpr milliseconds pull_retry{500};
/// A push may arrive after the heartbeat that names its revision.
inline constexpr milliseconds pull_delay{200};
/// Peers get this long to name their revisions: three heartbeats.
inline constexpr milliseconds ready_delay{1000};

/// The configuration in force here, and its spread among balancers. The
/// revision of each document only grows, whoever shows it.
class config_sync {
 public:
  explicit config_sync(time_point started);
  ~config_sync();

  /// Documents from the store or a peer. Applies those that are newer and
  /// decode; returns true if the configuration has changed. The store's are
  /// all that changed after `current().highest` or an earlier revision up to
  /// the last one given, and are pushed to `peers` unless they are the first.
  bool on_documents(std::span<const document> documents, bool from_store,
                    std::span<const balancer_id> peers, time_point now,
                    actions& out);

  /// A peer's heartbeat names `theirs`; pulls if it is ahead.
  void on_peer_revision(balancer_id peer, revision theirs, time_point now,
                        actions& out);
  void on_pull(balancer_id from, const config_pull& pull, actions& out);
  /// Pulls again what has not come.
  void tick(time_point now, actions& out);

  const configuration& current() const;
  /// Has the highest revision that a peer or the store has named, and some
  /// time has passed for peers to speak up. Stays true once true.
  bool is_ready(time_point now) const;
  /// The highest revision that the store or a peer has named.
  revision highest_known() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
