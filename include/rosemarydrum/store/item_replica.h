#pragma once

#include <compare>
#include <functional>
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
  /// If `at` is of a later era than `after`: the changes lead to `at` from any
  /// revision between `after` and this one.
  revision bridge{};
  /// From where the source knows all changes in the era of `at`; `at` if not
  /// set.
  revision era_start{};
};

/// Compares two versions of an item by what their writer put into them, for
/// versions of different eras. `greater`: `left` was written later. `unordered`
/// if the contents do not tell.
using content_order = std::function<std::partial_ordering(
    const kv_item& left, const kv_item& right)>;

inline std::partial_ordering no_content_order(const kv_item& /*left*/,
                                              const kv_item& /*right*/) {
  return std::partial_ordering::unordered;
}

/// Writers have written what a restored store had lost again within this time
/// after its return, if they live and reach it.
inline constexpr milliseconds rewrite_time{2200};

/// A version that stays in force although the restored store shows another one.
struct kept_item {
  kv_item in_force;
  kv_item restored;
};

/// The items of the store that are in force here. The revision of each item
/// only grows, in whatever order listings of the store and of other processes
/// arrive.
///
/// After a restore the store shows older versions. What is known of a later one
/// stays in force until the item is written again. If the contents do not tell
/// which version is later, the store's takes effect after `rewrite_time`.
class item_replica {
 public:
  /// Removed items are kept for at least `tombstone_retention`, so that peers
  /// learn of the removal.
  explicit item_replica(duration tombstone_retention,
                        content_order order = no_content_order);

  /// Applies a listing. Returns the items that it has updated or removed.
  std::vector<kv_item> apply(const item_listing& listing, time_point now);

  /// The replica includes all changes up to this revision.
  revision at() const { return at_; }
  /// Latest time at which the store is known to have held nothing newer than
  /// `at()`. Only grows.
  time_point confirmed_at() const { return confirmed_at_; }
  /// Records that `at()` includes all that the store held at `as_of`.
  void confirm(time_point as_of);
  /// Whether the replica includes all changes up to the start of a listing of
  /// changes, so that none are missing between.
  bool reaches(const item_listing& changes) const;

  /// Returns the changes after `after`, ordered by revision; a complete listing
  /// if removals after `after` may have been dropped, or if the store was
  /// restored since and this replica did not know `after` before.
  item_listing changes_after(revision after) const;

  /// Returns the recently removed items with their last values.
  std::vector<kv_item> removed() const;
  /// Returns what a process that starts cannot learn from the store: recently
  /// removed items with their last values, and versions that a restored store
  /// has lost, each with what the store shows instead.
  std::vector<kv_item> unlisted() const;

  /// Returns how long ago the item was removed; nullopt if it is not, or this
  /// process has only learned that it was, at some time.
  std::optional<milliseconds> removal_age(const std::string& key,
                                          time_point now) const;

  /// Returns the item, which may be removed; nullptr if it is unknown or its
  /// removal has been dropped.
  const kv_item* find(const std::string& key) const;
  /// Whether a version of the item has been announced whose value is missing.
  bool is_missing(const std::string& key) const;
  /// Whether the store may lack versions that were lost in a restore and are
  /// not written again yet.
  bool is_holding() const { return is_holding_; }
  /// Returns the keys whose announced value is still missing, with its
  /// revision.
  std::vector<std::pair<std::string, revision>> missing() const;

  /// Drops items whose removal is older than the retention.
  void tick(time_point now);
  /// Returns the items of a restored store that take effect now, because no
  /// later version has been written again within `rewrite_time`.
  std::vector<kv_item> settle(time_point now);
  /// Returns the versions that were kept against the store's since the last
  /// call.
  std::vector<kept_item> take_kept();
  /// Whether the version in force is kept against a later revision that the
  /// restored store shows.
  bool is_kept(const std::string& key) const;

  std::size_t size() const { return items_.size(); }
  /// Number of items whose version in force the store has lost.
  std::size_t kept_count() const;
  /// Number of items that were ignored since the start, because they are older
  /// than the known ones and differ from them.
  std::uint64_t outdated() const { return outdated_; }

 private:
  struct entry {
    /// The version in force.
    kv_item item;
    /// Revision of the newest announced version; its value is missing if newer
    /// than the item.
    revision announced{};
    time_point removed_at;
    /// Whether the item was removed at `removed_at`, not at some time before.
    bool is_removal_dated = false;
    /// What the restored store shows instead of `item`.
    std::optional<kv_item> restored;

    bool is_known() const { return item.changed != revision{}; }
    /// The latest known revision of the item in the store.
    revision latest() const {
      return restored ? restored->changed : item.changed;
    }
    /// Puts a version in force. Drops what the restored store shows.
    void replace(const kv_item& next, time_point now);
    /// Puts a version in force.
    void set(const kv_item& next, time_point now);
    /// Adds what another member knows of the same removal. Returns whether it
    /// was not known here.
    bool add(const kv_item& same_removal, time_point now);
  };

  void enter_era(store_era era, time_point now);
  bool needs_complete(revision after) const;
  bool apply_item(const kv_item& item, time_point now);
  void apply_announcement(entry& known, const kv_item& item);
  bool apply_earlier(entry& known, const kv_item& item, time_point now);
  bool apply_lost(entry& known, const kv_item& item, time_point now);
  bool apply_later_era(entry& known, const kv_item& item, time_point now);
  bool was_removed(const kv_item& restored) const;
  void keep_removed(entry& known, const kv_item& restored, time_point now);
  bool stays_in_force(const kv_item& known, const kv_item& restored) const;
  void remove_unlisted(const item_listing& listing, time_point now,
                       std::vector<kv_item>& updated);
  bool remove_unlisted(entry& known, const item_listing& listing,
                       time_point now);

  duration tombstone_retention_;
  content_order order_;
  revision at_{};
  /// Removals up to this revision may have been dropped.
  revision history_start_{};
  /// The revisions of the previous era from the first to the last of which the
  /// changes to the present era are known.
  std::optional<std::pair<revision, revision>> bridge_;
  /// From where this replica knows all changes, and removals, in the present
  /// era.
  revision era_start_{};
  /// The latest era that any listing has shown.
  store_era era_{};
  /// Versions of a restored store wait for this time if the contents do not
  /// tell which one is later.
  time_point hold_until_;
  bool is_holding_ = false;
  time_point confirmed_at_;
  std::map<std::string, entry> items_;
  std::vector<kept_item> kept_;
  std::uint64_t outdated_ = 0;
};

}  // namespace rosemarydrum
