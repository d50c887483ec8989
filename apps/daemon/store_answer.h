#pragma once

#include <string>
#include <string_view>

#include "io/http_connection.h"
#include "rosemarydrum/configuration/config_store.h"

/// What the store's HTTP answers mean (docs/store-protocol.md).
namespace rosemarydrum {

std::string range_target(std::string_view path, const std::string& prefix,
                         revision after);
error_kind error_of(const http_answer& answer);
/// Whether a status says that a write was not performed.
bool states_not_performed(unsigned status);
/// A page after `after`; `more` is set if another one follows.
store_listing listing_of(const http_answer& answer, revision after, bool& more);

}  // namespace rosemarydrum
