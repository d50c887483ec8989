#include "listing_parts.h"

#include <utility>

#include "rosemarydrum/spread/spread_message.h"

namespace rosemarydrum::detail {
namespace {

/// Longer values are only announced; each member reads them from the store.
constexpr std::size_t max_inline_value_bytes = 900;
/// Reserved for the other fields of the message.
constexpr std::size_t message_overhead_bytes = 100;

std::size_t encoded_size(const kv_item& item) {
  constexpr std::size_t item_overhead_bytes = 24;
  return item.key.size() + item.value.size() + item_overhead_bytes;
}

}  // namespace

std::vector<item_listing> datagram_parts(item_listing listing) {
  std::vector<item_listing> parts;
  item_listing part;
  part.after = listing.after;
  part.bridge = listing.bridge;
  part.era_start = listing.era_start;
  std::size_t size = 0;
  for (auto& item : listing.items) {
    if (item.value.size() > max_inline_value_bytes) {
      item.value.clear();
      item.omitted = true;
    }
    const auto item_bytes = encoded_size(item);
    if (size > 0 &&
        size + item_bytes > max_spread_datagram - message_overhead_bytes &&
        item.changed > part.items.back().changed) {
      part.at = part.items.back().changed;
      const auto part_end = part.at;
      parts.push_back(std::move(part));
      part = {};
      part.after = part_end;
      part.bridge = listing.bridge;
      part.era_start = listing.era_start;
      size = 0;
    }
    size += item_bytes;
    part.items.push_back(std::move(item));
  }
  part.at = listing.at;
  parts.push_back(std::move(part));
  return parts;
}

item_listing first_page(item_listing listing, std::size_t max_bytes) {
  if (listing.complete) {
    return listing;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < listing.items.size(); ++i) {
    size += encoded_size(listing.items[i]);
    if (i > 0 && size > max_bytes &&
        listing.items[i].changed > listing.items[i - 1].changed) {
      listing.items.resize(i);
      listing.at = listing.items.back().changed;
      break;
    }
  }
  return listing;
}

}  // namespace rosemarydrum::detail
