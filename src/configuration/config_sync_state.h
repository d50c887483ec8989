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

  // The pull that waits for its answer.
  std::optional<balancer_id> asked;
  balancer_id last_asked{};
  time_point asked_at;
  std::optional<time_point> behind_since;
  // A document was rejected: peers may have an earlier version, which is
  // looked for in all that changed after this revision.
  std::optional<revision> missing_after;

  revision highest() const { return documents.current().highest; }
  /// Whether `other` has more, and has been heard lately enough to be asked
  /// and to hold up readiness.
  bool is_behind(const peer& other, time_point now) const {
    return now - other.heard <= remote_suspicion_timeout &&
           other.configuration > highest();
  }
  /// Applies `shown`; `news` is set if any of it was not known.
  void add(std::span<const document> shown, bool from_store, actions& out,
           bool& changed, bool& news);
  /// The next message with documents that changed after `after`. The last one
  /// also has the documents past `highest()`, because an earlier version of
  /// one of those is no longer here to be sent.
  std::vector<document> message(revision after);
  void push(std::span<const balancer_id> to, revision after, actions& out);
  /// The next peer by id, after the last one asked, that can be asked.
  std::optional<balancer_id> choose(time_point now) const;
  void pull(balancer_id from, time_point now, actions& out);
  void pull_if_behind(time_point now, actions& out);
  /// Asks for the next part if a peer's range was the answer to a pull.
  void on_range(revision after, revision last, revision highest_before,
                time_point now, actions& out);
};

}  // namespace rosemarydrum
