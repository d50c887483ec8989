#pragma once

#include <cstddef>
#include <vector>

#include "rosemarydrum/store/item_replica.h"

namespace rosemarydrum::detail {

/// Splits a listing into parts that fit a datagram. Long values are announced
/// without their text. Each part but the last ends at the revision of its last
/// item.
std::vector<item_listing> datagram_parts(item_listing listing);

/// Returns the first items of a listing of changes, up to about `max_bytes`. A
/// complete listing is not cut, because it implies the removal of other items.
item_listing first_page(item_listing listing, std::size_t max_bytes);

}  // namespace rosemarydrum::detail
