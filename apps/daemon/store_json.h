#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/configuration/configuration.h"

/// JSON bodies of the store's protocol (docs/store-protocol.md).
namespace rosemarydrum::store_json {

/// A page of GET /v1/list and GET /v1/watch.
struct page {
  revision last{};
  bool more = false;
  std::vector<document> documents;
};

/// Percent-encodes a component of a request target: all characters except
/// letters, digits and -._~/.
std::string escape(std::string_view text);
/// Returns nullopt if an escape is malformed.
std::optional<std::string> unescape(std::string_view text);

boost::json::value write(const document& item);
std::string write(const page& listed);

/// These return nullopt if the body is not JSON of the expected form.
std::optional<document> read_document(std::string_view body);
std::optional<page> read_page(std::string_view body);
std::optional<revision> read_revision(std::string_view body);

}  // namespace rosemarydrum::store_json
