#pragma once

#include <cstddef>
#include <vector>

#include "rosemarydrum/store/item_replica.h"

namespace rosemarydrum::detail {

/// Splits a listing into parts that fit a datagram; long values are announced
/// without their text. All but the last end at the revision of their last item.
std::vector<item_listing> datagram_parts(item_listing listing);

/// The first items of a listing of changes, up to about `longest` bytes. A
/// complete listing stays whole, because it says what is not there.
item_listing first_page(item_listing listing, std::size_t longest);

}  // namespace rosemarydrum::detail
