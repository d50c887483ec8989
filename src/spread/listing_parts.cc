#include "listing_parts.h"

#include <utility>

#include "rosemarydrum/spread/spread_message.h"

namespace rosemarydrum::detail {
namespace {

/// Items that are longer are read from the store by each member.
constexpr std::size_t longest_inline_value = 900;
/// Room for the rest of the message.
constexpr std::size_t message_head = 100;

std::size_t encoded_size(const kv_item& item) {
  constexpr std::size_t item_head = 24;
  return item.key.size() + item.value.size() + item_head;
}

}  // namespace

std::vector<item_listing> datagram_parts(item_listing listing) {
  std::vector<item_listing> parts;
  item_listing part;
  part.after = listing.after;
  std::size_t size = 0;
  for (auto& item : listing.items) {
    if (item.value.size() > longest_inline_value) {
      item.value.clear();
      item.omitted = true;
    }
    const auto bytes = encoded_size(item);
    if (size > 0 && size + bytes > max_spread_datagram - message_head &&
        item.changed > part.items.back().changed) {
      part.at = part.items.back().changed;
      const auto end = part.at;
      parts.push_back(std::move(part));
      part = {};
      part.after = end;
      size = 0;
    }
    size += bytes;
    part.items.push_back(std::move(item));
  }
  part.at = listing.at;
  parts.push_back(std::move(part));
  return parts;
}

item_listing first_page(item_listing listing, std::size_t longest) {
  if (listing.complete) {
    return listing;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < listing.items.size(); ++i) {
    size += encoded_size(listing.items[i]);
    if (i > 0 && size > longest &&
        listing.items[i].changed > listing.items[i - 1].changed) {
      listing.items.resize(i);
      listing.at = listing.items.back().changed;
      break;
    }
  }
  return listing;
}

}  // namespace rosemarydrum::detail
