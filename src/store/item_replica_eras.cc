#include <algorithm>
#include <utility>

#include "rosemarydrum/store/item_replica.h"

/// What a replica keeps, and for how long, when the store has been restored.
namespace rosemarydrum {
namespace {

bool has_same_content(const kv_item& left, const kv_item& right) {
  return left.removed == right.removed &&
         (left.removed || left.value == right.value);
}

/// Whether a version of a restored store is later than a known one: either it
/// was written after it and is in the copy, or after the restore.
bool is_later(const kv_item& restored, const kv_item& known) {
  return !restored.removed && restored.changed.number > known.changed.number;
}

/// Returns the removal of an item with its last value.
kv_item removal_of(const std::string& key, const std::string& value,
                   revision changed) {
  return {key, value, changed, true, false, {}};
}

}  // namespace

void item_replica::enter_era(store_era era, time_point now) {
  era_ = era;
  is_holding_ = true;
  hold_until_ = now + rewrite_time;
}

// A replica that started from another process's listing knows no removals.
bool item_replica::was_removed(const kv_item& restored) const {
  return is_holding_ && restored.restored && !restored.removed &&
         at_ != revision{} && at_.era < restored.changed.era &&
         restored.changed.number <= at_.number;
}

void item_replica::keep_removed(entry& known, const kv_item& restored,
                                time_point now) {
  known.replace(removal_of(restored.key, restored.value, at_), now);
  known.restored = restored;
}

bool item_replica::apply_earlier(entry& known, const kv_item& item,
                                 time_point now) {
  if (has_same_content(known.item, item)) {
    return false;
  }
  const bool is_later_lost = known.restored &&
                             item.changed.era == known.item.changed.era &&
                             item.changed > known.item.changed;
  if (is_later_lost) {
    known.set(item, now);
    return true;
  }
  return apply_lost(known, item, now);
}

// The store may have lost this version, which this process did not know before
// it learned of the restore.
bool item_replica::apply_lost(entry& known, const kv_item& item,
                              time_point now) {
  auto shown = known.item;
  if (shown.changed == revision{}) {
    shown = removal_of(item.key, {}, era_start_);
    shown.restored = true;
  } else if (shown.changed.era < at_.era) {
    // Unchanged since an earlier era.
    shown.changed =
        shown.removed ? era_start_ : revision(at_.era, shown.changed.number);
    shown.restored = true;
  }
  const bool may_be_lost =
      !known.restored && shown.restored && item.changed.era < shown.changed.era;
  if (!may_be_lost || !stays_in_force(item, shown)) {
    ++outdated_;
    return false;
  }
  known.replace(item, now);
  known.restored = shown;
  kept_.push_back({known.item, std::move(shown)});
  return true;
}

// A version that is in the copy unchanged keeps its revision, so that members
// that know it as well need not be told.
bool item_replica::apply_later_era(entry& known, const kv_item& item,
                                   time_point now) {
  if (has_same_content(known.item, item)) {
    if (known.restored || item.changed.number != known.item.changed.number) {
      known.item.changed = item.changed;
    }
    known.restored.reset();
    return false;
  }
  const bool is_restored =
      item.restored ||
      (known.restored && known.restored->changed == item.changed);
  if (is_restored && stays_in_force(known.item, item)) {
    known.restored = item;
    known.restored->restored = true;
    kept_.push_back({known.item, item});
    return false;
  }
  known.replace(item, now);
  return true;
}

bool item_replica::stays_in_force(const kv_item& known,
                                  const kv_item& restored) const {
  if (restored.removed || known.removed) {
    return is_holding_ && !is_later(restored, known);
  }
  const auto order = order_(known, restored);
  if (order == std::partial_ordering::less || is_later(restored, known)) {
    return false;
  }
  return order == std::partial_ordering::greater || is_holding_;
}

bool item_replica::remove_unlisted(entry& known, const item_listing& listing,
                                   time_point now) {
  if (known.restored && known.restored->removed) {
    known.restored->changed = listing.at;
    return false;
  }
  if (known.item.removed && !known.restored) {
    return false;
  }
  auto removal = removal_of(known.item.key, {}, listing.at);
  // The first listing of an era shows what the store has lost, a later one what
  // was removed since.
  removal.restored = at_.era != listing.at.era;
  if (known.item.removed) {
    known.restored.reset();
    known.item.changed = listing.at;
    return false;
  }
  if (removal.restored) {
    return apply_later_era(known, removal, now);
  }
  known.replace(removal, now);
  return true;
}

std::vector<kept_item> item_replica::take_kept() {
  return std::exchange(kept_, {});
}

std::size_t item_replica::kept_count() const {
  return static_cast<std::size_t>(std::count_if(
      items_.begin(), items_.end(),
      [](const auto& pair) { return pair.second.restored.has_value(); }));
}

std::vector<kv_item> item_replica::settle(time_point now) {
  std::vector<kv_item> updated;
  if (!is_holding_ || now < hold_until_ || confirmed_at_ < hold_until_) {
    return updated;
  }
  is_holding_ = false;
  for (auto& [key, known] : items_) {
    if (known.announced.era < era_) {
      // No other member has sent the announced version.
      known.announced = {};
    }
    if (known.restored && !known.restored->omitted &&
        !stays_in_force(known.item, *known.restored)) {
      known.replace(kv_item(*known.restored), now);
      updated.push_back(known.item);
    }
  }
  return updated;
}

}  // namespace rosemarydrum
