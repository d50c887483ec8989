#pragma once

#include <optional>
#include <vector>

#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"

namespace rosemarydrum::detail {

/// Builds a listing of all items from stale pages, which cost little, and the
/// changes since. The pages may be of different ages.
class stale_listing {
 public:
  /// Returns false if the page is of another era than the ones before.
  bool add_page(const kv_read_result& page);
  /// Returns a revision that is not after the age of any page: all changes
  /// that a page lacks have later ones.
  revision start() const { return start_.value_or(revision{}); }
  /// Applies the changes after `start()`. Items that were removed since are
  /// listed as such, with their last values.
  item_listing complete(const kv_watch_result& changes) const;

 private:
  std::vector<kv_item> items_;
  std::optional<revision> start_;
  std::optional<store_era> era_;
};

}  // namespace rosemarydrum::detail
