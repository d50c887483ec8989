#include "stale_listing.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace rosemarydrum::detail {

// The store's revision in a stale answer may be newer than the page, so that
// only the revisions of the items tell its age.
bool stale_listing::add_page(const kv_read_result& page) {
  if (era_.value_or(page.era) != page.era) {
    return false;
  }
  era_ = page.era;
  revision newest{};
  for (const auto& item : page.items) {
    newest = std::max(newest, item.changed);
  }
  start_ = std::min(start_.value_or(newest), newest);
  items_.insert(items_.end(), page.items.begin(), page.items.end());
  return true;
}

item_listing stale_listing::complete(const kv_watch_result& changes) const {
  std::unordered_map<std::string, kv_item> latest;
  for (const auto& item : items_) {
    latest.emplace(item.key, item);
  }
  for (const auto& change : changes.items) {
    auto& known = latest[change.key];
    if (known.changed < change.changed) {
      // The value of a removed item is kept.
      auto value = change.removed ? known.value : change.value;
      known = change;
      known.value = std::move(value);
    }
  }
  item_listing listing;
  listing.complete = true;
  listing.at = changes.at;
  for (auto& [key, item] : latest) {
    const bool is_known = !item.removed || !item.value.empty();
    if (is_known) {
      listing.items.push_back(std::move(item));
    }
  }
  return listing;
}

}  // namespace rosemarydrum::detail
