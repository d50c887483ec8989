#include "rosemarydrum/store/item_replica.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace rosemarydrum {

item_replica::item_replica(duration tombstone_retention, content_order order)
    : tombstone_retention_(tombstone_retention), order_(std::move(order)) {}

std::vector<kv_item> item_replica::apply(const item_listing& listing,
                                         time_point now) {
  if (listing.at.era > era_) {
    enter_era(listing.at.era, now);
  }
  const bool is_first = at_ == revision{};
  const bool has_gap = !listing.complete && !reaches(listing);
  std::vector<kv_item> updated;
  for (auto item : listing.items) {
    // What a process reads first may be of a store that was just restored.
    item.restored = item.restored || (listing.complete && is_first);
    const bool is_new_removal = item.removed && !is_first && item.changed > at_;
    if (is_new_removal && !item.removed_for) {
      item.removed_for = milliseconds(0);
    }
    if (apply_item(item, now)) {
      updated.push_back(items_.at(item.key).item);
    }
  }
  if (listing.complete && listing.at >= at_) {
    remove_unlisted(listing, now, updated);
    if (at_ == revision{}) {
      history_start_ = listing.at;
    }
  }
  if (!has_gap && listing.at > at_) {
    if (at_.era != listing.at.era) {
      bridge_ = at_ == revision{} ? std::nullopt
                                  : std::optional(std::pair(era_start_, at_));
      const bool is_stated = listing.era_start.era == listing.at.era;
      era_start_ = is_stated ? listing.era_start : listing.at;
    }
    at_ = listing.at;
  }
  return updated;
}

bool item_replica::reaches(const item_listing& changes) const {
  if (changes.after > at_) {
    return false;
  }
  return changes.at.era <= at_.era || at_ <= changes.bridge;
}

bool item_replica::apply_item(const kv_item& item, time_point now) {
  const bool is_of_earlier_era = item.changed.era < at_.era;
  const auto found = items_.find(item.key);
  if (found == items_.end() && item.changed < at_ && !item.removed) {
    // It is not among the items at `at_`.
    return is_of_earlier_era && !item.omitted &&
           apply_lost(items_[item.key], item, now);
  }
  auto& known = found == items_.end() ? items_[item.key] : found->second;
  if (item.omitted) {
    apply_announcement(known, item);
    return false;
  }
  if (item.changed == known.item.changed && item.removed &&
      known.item.removed) {
    return known.add(item, now);
  }
  // The value of the store's version may have been left out before.
  const bool is_awaited = known.restored && known.restored->omitted &&
                          item.changed == known.restored->changed;
  const bool is_of_lost_history = is_of_earlier_era && known.is_known();
  if ((item.changed <= known.latest() && !is_awaited) || is_of_lost_history) {
    return apply_earlier(known, item, now);
  }
  if (!known.is_known() && was_removed(item)) {
    keep_removed(known, item, now);
    return true;
  }
  if (known.is_known() && item.changed.era != known.item.changed.era) {
    return apply_later_era(known, item, now);
  }
  known.replace(item, now);
  return true;
}

void item_replica::apply_announcement(entry& known, const kv_item& item) {
  known.item.key = item.key;
  if (item.changed <= known.latest() || item.changed.era < at_.era) {
    return;
  }
  const bool is_older_version = item.restored && known.is_known() &&
                                known.item.changed.era < item.changed.era;
  if (is_older_version) {
    known.restored = item;
    kept_.push_back({known.item, item});
  } else {
    known.announced = std::max(known.announced, item.changed);
  }
}

void item_replica::entry::replace(const kv_item& next, time_point now) {
  restored.reset();
  set(next, now);
}

void item_replica::entry::set(const kv_item& next, time_point now) {
  if (!next.removed) {
    item = next;
    return;
  }
  const bool was_present = is_known() && !item.removed;
  // Keeps the last value, so that members that never had the item can fetch it.
  item.key = next.key;
  item.changed = next.changed;
  item.removed = true;
  item.restored = next.restored;
  removed_at = now - next.removed_for.value_or(milliseconds(0));
  is_removal_dated = was_present || next.removed_for;
  if (item.value.empty()) {
    item.value = next.value;
  }
}

bool item_replica::entry::add(const kv_item& same_removal, time_point now) {
  bool is_new = false;
  if (item.value.empty() && !same_removal.value.empty()) {
    item.value = same_removal.value;
    is_new = true;
  }
  if (!is_removal_dated && same_removal.removed_for) {
    removed_at = now - *same_removal.removed_for;
    is_removal_dated = true;
    is_new = true;
  }
  return is_new;
}

void item_replica::remove_unlisted(const item_listing& listing, time_point now,
                                   std::vector<kv_item>& updated) {
  std::unordered_set<std::string_view> listed;
  for (const auto& item : listing.items) {
    listed.insert(item.key);
  }
  for (auto& [key, known] : items_) {
    const bool is_unlisted = known.is_known() && known.latest() <= listing.at &&
                             !listed.contains(key);
    if (is_unlisted && remove_unlisted(known, listing, now)) {
      updated.push_back(known.item);
    }
  }
}

void item_replica::confirm(time_point as_of) {
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

bool item_replica::needs_complete(revision after) const {
  if (after < history_start_) {
    return true;
  }
  if (after.era == at_.era) {
    return after < era_start_;
  }
  return !bridge_ || after < bridge_->first || after > bridge_->second;
}

item_listing item_replica::changes_after(revision after) const {
  item_listing listing;
  listing.complete = needs_complete(after);
  listing.after = after;
  listing.at = at_;
  listing.bridge = bridge_ ? bridge_->second : revision{};
  listing.era_start = era_start_;
  for (const auto& [key, known] : items_) {
    const bool is_missing = known.announced > known.item.changed;
    if (is_missing && known.announced > after) {
      listing.items.push_back({key, {}, known.announced, false, true, {}});
    } else if (listing.complete ? !known.item.removed || known.restored
                                : known.item.changed > after) {
      listing.items.push_back(known.item);
      if (listing.complete && !known.restored) {
        // The store has this version in the present era as well.
        auto& item = listing.items.back();
        item.restored = item.restored || item.changed.era != at_.era;
        item.changed.era = at_.era;
      }
    }
    if (known.restored && (listing.complete || known.latest() > after)) {
      listing.items.push_back(*known.restored);
    }
  }
  std::stable_sort(listing.items.begin(), listing.items.end(),
                   [](const auto& left, const auto& right) {
                     return left.changed < right.changed;
                   });
  return listing;
}

std::vector<kv_item> item_replica::removed() const {
  std::vector<kv_item> items;
  for (const auto& [key, known] : items_) {
    if (known.item.removed) {
      items.push_back(known.item);
    }
  }
  return items;
}

std::vector<kv_item> item_replica::unlisted() const {
  std::vector<kv_item> items;
  for (const auto& [key, known] : items_) {
    if (known.item.removed || known.restored) {
      items.push_back(known.item);
    }
    if (known.restored) {
      items.push_back(*known.restored);
    }
  }
  return items;
}

std::optional<milliseconds> item_replica::removal_age(const std::string& key,
                                                      time_point now) const {
  const auto found = items_.find(key);
  if (found == items_.end() || !found->second.item.removed ||
      !found->second.is_removal_dated) {
    return std::nullopt;
  }
  const auto age = std::max(now - found->second.removed_at, duration(0));
  return std::chrono::duration_cast<milliseconds>(age);
}

const kv_item* item_replica::find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.item;
}

bool item_replica::is_kept(const std::string& key) const {
  const auto found = items_.find(key);
  return found != items_.end() && found->second.restored;
}

bool item_replica::is_missing(const std::string& key) const {
  const auto found = items_.find(key);
  return found != items_.end() &&
         found->second.announced > found->second.item.changed;
}

std::vector<std::pair<std::string, revision>> item_replica::missing() const {
  std::vector<std::pair<std::string, revision>> result;
  for (const auto& [key, known] : items_) {
    if (known.announced > known.item.changed) {
      result.emplace_back(key, known.announced);
    } else if (known.restored && known.restored->omitted && !is_holding_) {
      result.emplace_back(key, known.restored->changed);
    }
  }
  return result;
}

void item_replica::tick(time_point now) {
  std::erase_if(items_, [&](const auto& pair) {
    const auto& known = pair.second;
    if (!known.item.removed || known.restored ||
        now - known.removed_at < tombstone_retention_) {
      return false;
    }
    history_start_ = std::max(history_start_, known.item.changed);
    return true;
  });
}

}  // namespace rosemarydrum
