#include "rosemarydrum/store/item_replica.h"

#include <algorithm>
#include <unordered_set>

namespace rosemarydrum {

item_replica::item_replica(duration tombstone_retention)
    : tombstone_retention_(tombstone_retention) {}

std::vector<kv_item> item_replica::apply(const item_listing& listing,
                                         time_point now) {
  std::vector<kv_item> updated;
  for (const auto& item : listing.items) {
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
  if (listing.complete || listing.after <= at_) {
    at_ = std::max(at_, listing.at);
  }
  return updated;
}

bool item_replica::apply_item(const kv_item& item, time_point now) {
  auto& known = items_[item.key];
  if (item.omitted) {
    known.item.key = item.key;
    if (item.changed > known.item.changed) {
      known.announced = std::max(known.announced, item.changed);
    }
    return false;
  }
  if (item.changed == known.item.changed && item.removed &&
      known.item.value.empty() && !item.value.empty()) {
    // Another member knows the last value of a removed item.
    known.item.value = item.value;
    return known.item.removed;
  }
  if (item.changed <= known.item.changed) {
    const bool is_same = item.removed == known.item.removed &&
                         (item.removed || item.value == known.item.value);
    outdated_ += is_same ? 0 : 1;
    return false;
  }
  if (item.removed) {
    mark_removed(known, item.key, item.changed, now);
    if (known.item.value.empty()) {
      known.item.value = item.value;
    }
  } else {
    known.item = item;
  }
  return true;
}

// Keeps the last value, so that members that never had the item can fetch it.
void item_replica::mark_removed(entry& known, const std::string& key,
                                revision changed, time_point now) {
  known.item.key = key;
  known.item.changed = changed;
  known.item.removed = true;
  known.removed_at = now;
}

void item_replica::remove_unlisted(const item_listing& listing, time_point now,
                                   std::vector<kv_item>& updated) {
  std::unordered_set<std::string_view> listed;
  for (const auto& item : listing.items) {
    listed.insert(item.key);
  }
  for (auto& [key, known] : items_) {
    const bool is_present =
        !known.item.removed && known.item.changed != revision{};
    if (is_present && known.item.changed <= listing.at &&
        !listed.contains(key)) {
      mark_removed(known, key, listing.at, now);
      updated.push_back(known.item);
    }
  }
}

void item_replica::confirm(time_point as_of) {
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

item_listing item_replica::changes_after(revision after) const {
  item_listing listing;
  listing.complete = after < history_start_;
  listing.after = after;
  listing.at = at_;
  for (const auto& [key, known] : items_) {
    const bool is_missing = known.announced > known.item.changed;
    if (is_missing && known.announced > after) {
      listing.items.push_back({key, {}, known.announced, false, true, {}});
    } else if (listing.complete ? !known.item.removed
                                : known.item.changed > after) {
      listing.items.push_back(known.item);
    }
  }
  std::sort(listing.items.begin(), listing.items.end(),
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

const kv_item* item_replica::find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.item;
}

std::vector<std::pair<std::string, revision>> item_replica::missing() const {
  std::vector<std::pair<std::string, revision>> result;
  for (const auto& [key, known] : items_) {
    if (known.announced > known.item.changed) {
      result.emplace_back(key, known.announced);
    }
  }
  return result;
}

void item_replica::tick(time_point now) {
  std::erase_if(items_, [&](const auto& pair) {
    const auto& known = pair.second;
    if (!known.item.removed || now - known.removed_at < tombstone_retention_) {
      return false;
    }
    history_start_ = std::max(history_start_, known.item.changed);
    return true;
  });
}

}  // namespace rosemarydrum
