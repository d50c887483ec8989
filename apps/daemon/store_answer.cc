#include "daemon/store_answer.h"

#include <algorithm>
#include <utility>

#include "daemon/store_json.h"

namespace rosemarydrum {
namespace {

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned too_large = 413;
constexpr unsigned bad_request = 400;
constexpr unsigned unavailable = 503;

}  // namespace

std::string range_target(std::string_view path, const std::string& prefix,
                         revision after) {
  return std::string(path) + "?prefix=" + store_json::escape(prefix) +
         "&after=" + std::to_string(after.number);
}

error_kind error_of(const http_answer& answer) {
  if (answer.error != error_kind::none) {
    return answer.error;
  }
  switch (answer.status) {
    case ok:
      return error_kind::none;
    case not_found:
      return error_kind::not_found;
    case conflict:
      return error_kind::conflict;
    case bad_request:
    case too_large:
      return error_kind::bad_document;
    default:
      return error_kind::store_unavailable;
  }
}

bool states_not_performed(unsigned status) {
  return status == conflict || status == bad_request || status == too_large ||
         status == unavailable;
}

store_listing listing_of(const http_answer& answer, revision after,
                         bool& more) {
  store_listing listing{error_of(answer), after, after, {}};
  more = false;
  if (listing.error != error_kind::none) {
    return listing;
  }
  auto page = store_json::read_page(answer.body);
  if (!page) {
    listing.error = error_kind::store_unavailable;
    return listing;
  }
  // A stale answer may end at a revision below `after`.
  listing.last = std::max(after, page->last);
  listing.documents = std::move(page->documents);
  more = page->more && page->last > after;
  return listing;
}

}  // namespace rosemarydrum
