#pragma once

#include <map>
#include <optional>
#include <string>

#include "daemon/store_json.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::standins {

/// The documents of the stand-in store, by key and by revision.
class store_state {
 public:
  static constexpr std::size_t max_page_bytes = 4'000'000;

  revision last() const { return last_; }

  std::optional<document> get(const std::string& key) const {
    const auto found = changed_.find(key);
    if (found == changed_.end()) {
      return std::nullopt;
    }
    return by_revision_.at(found->second);
  }

  store_json::page list(const std::string& prefix, revision after) const {
    store_json::page listed{last_, false, {}};
    std::size_t bytes = 0;
    for (auto item = by_revision_.upper_bound(after);
         item != by_revision_.end(); ++item) {
      if (!item->second.key.starts_with(prefix)) {
        continue;
      }
      bytes += item->second.text.size();
      if (!listed.documents.empty() && bytes > max_page_bytes) {
        listed.more = true;
        listed.last = listed.documents.back().changed;
        break;
      }
      listed.documents.push_back(item->second);
    }
    return listed;
  }

  /// Returns the new revision, or nullopt if the document's current revision is
  /// not `expected`.
  std::optional<revision> put(const std::string& key, std::string text,
                              revision expected) {
    const auto found = changed_.find(key);
    const auto current = found == changed_.end() ? revision{} : found->second;
    if (current != expected) {
      return std::nullopt;
    }
    by_revision_.erase(current);
    last_ = revision(last_.number + 1);
    changed_[key] = last_;
    by_revision_[last_] = {key, std::move(text), last_};
    return last_;
  }

 private:
  revision last_{};
  std::map<std::string, revision> changed_;
  std::map<revision, document> by_revision_;
};

/// Leases by name; a holder renews its own.
class lease_state {
 public:
  struct lease {
    std::string holder;
    time_point until;
  };

  /// Returns the lease after the attempt; it was granted if its holder is
  /// `holder`.
  const lease& acquire(const std::string& name, const std::string& holder,
                       milliseconds ttl, time_point now) {
    auto& found = leases_[name];
    if (found.until <= now || found.holder == holder) {
      found = {holder, now + ttl};
    }
    return found;
  }

 private:
  std::map<std::string, lease> leases_;
};

}  // namespace rosemarydrum::standins
