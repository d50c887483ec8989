#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "configuration/document_set.h"
#include "rosemarydrum/configuration/config_sync.h"
#include "rosemarydrum/membership/membership.h"

namespace rosemarydrum {

struct config_sync::state {
  struct peer {
    revision configuration{};
    time_point heard;
  };

  detail::document_set documents;
  std::map<balancer_id, peer> peers;
  time_point started;
  revision highest_known{};
  revision store_highest{};
  bool ready = false;

  // The peer whose answer to a pull is awaited.
  std::optional<balancer_id> pulled_from;
  balancer_id last_pulled_from{};
  time_point pulled_at;
  std::optional<time_point> behind_since;
  // Set after a document was rejected: peers may have an earlier version that
  // decodes, so all documents that changed after this revision are pulled.
  std::optional<revision> missing_after;

  revision highest() const { return documents.current().highest; }
  /// Whether this balancer is behind `other` and has heard from it recently
  /// enough to pull from it and to delay readiness for it.
  bool is_behind(const peer& other, time_point now) const {
    return now - other.heard <= remote_suspicion_timeout &&
           other.configuration > highest();
  }
  /// Applies `received`. Sets `changed` if any document was applied, and
  /// `has_new_versions` if any was applied or rejected.
  void add(std::span<const document> received, bool from_store, actions& out,
           bool& changed, bool& has_new_versions);
  /// The next push message with documents that changed after `after`. The
  /// last one includes documents past `highest()`, because their earlier
  /// versions are no longer stored and cannot be sent.
  std::vector<document> next_message(revision after);
  void push(std::span<const balancer_id> to, revision after, actions& out);
  /// The next peer to pull from, in round-robin order of ids.
  std::optional<balancer_id> choose_pull_peer(time_point now) const;
  void pull(balancer_id from, time_point now, actions& out);
  void pull_if_behind(time_point now, actions& out);
  /// Handles a range of revisions from a peer. If it answers the pending pull
  /// and that peer has newer documents, pulls the next part.
  void on_pulled_range(revision after, revision last, revision highest_before,
                       time_point now, actions& out);
};

}  // namespace rosemarydrum
