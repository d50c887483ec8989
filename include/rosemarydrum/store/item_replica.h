#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The items of the store at one revision, or the changes between two.
struct item_listing {
  /// The latest version of each item.
  std::vector<kv_item> items;
  /// Whether `items` are all items at `at`, rather than the changes after
  /// `after`.
  bool complete = false;
  revision after{};
  revision at{};
};

/// A copy of the store's items. The revision of each item only grows, in
/// whatever order listings of the store and of other processes arrive.
class item_replica {
 public:
  /// Removed items are kept for at least `tombstone_retention`, so that peers
  /// learn of the removal.
  explicit item_replica(duration tombstone_retention);

  /// Applies a listing. Returns the items that it has updated or removed.
  std::vector<kv_item> apply(const item_listing& listing, time_point now);

  /// The replica includes all changes up to this revision.
  revision at() const { return at_; }
  /// Latest time at which the store is known to have held nothing newer than
  /// `at()`. Only grows.
  time_point confirmed_at() const { return confirmed_at_; }
  /// Records that `at()` includes all that the store held at `as_of`.
  void confirm(time_point as_of);

  /// Returns the changes after `after`, ordered by revision; a complete listing
  /// if removals after `after` may have been dropped.
  item_listing changes_after(revision after) const;

  /// Returns the recently removed items with their last values.
  std::vector<kv_item> removed() const;

  /// Returns the item, which may be removed; nullptr if it is unknown or its
  /// removal has been dropped.
  const kv_item* find(const std::string& key) const;
  /// Returns the keys whose announced value is still missing, with its
  /// revision.
  std::vector<std::pair<std::string, revision>> missing() const;

  /// Drops items whose removal is older than the retention.
  void tick(time_point now);
  std::size_t size() const { return items_.size(); }
  /// Number of items that were ignored since the start, because they are older
  /// than the known ones and differ from them.
  std::uint64_t outdated() const { return outdated_; }

 private:
  struct entry {
    kv_item item;
    /// Revision of the newest announced version; its value is missing if newer
    /// than the item.
    revision announced{};
    time_point removed_at;
  };

  bool apply_item(const kv_item& item, time_point now);
  static void mark_removed(entry& known, const std::string& key,
                           revision changed, time_point now);
  void remove_unlisted(const item_listing& listing, time_point now,
                       std::vector<kv_item>& updated);

  duration tombstone_retention_;
  revision at_{};
  /// Removals up to this revision may have been dropped.
  revision history_start_{};
  time_point confirmed_at_;
  std::map<std::string, entry> items_;
  std::uint64_t outdated_ = 0;
};

}  // namespace rosemarydrum
