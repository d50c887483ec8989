#pragma once

#include <string>
#include <string_view>

#include "io/http_connection.h"
#include "rosemarydrum/configuration/config_store.h"

/// Interprets the store's HTTP answers (docs/store-protocol.md).
namespace rosemarydrum {

std::string range_target(std::string_view path, const std::string& prefix,
                         revision after);
error_kind error_of(const http_answer& answer);
/// Returns true if the status states that a write was not performed.
bool states_not_performed(unsigned status);
/// Parses a page of documents after revision `after`. Sets `more` to whether
/// another page follows.
store_listing listing_of(const http_answer& answer, revision after, bool& more);

}  // namespace rosemarydrum
