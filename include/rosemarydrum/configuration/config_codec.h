#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemarydrum/address_text.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/field_error.h"

/// JSON documents of the configuration (docs/store-protocol.md).
namespace rosemarydrum {

inline constexpr std::size_t max_document_bytes = 1'000'000;
inline constexpr std::size_t max_operations = 16;
inline constexpr std::size_t max_approvals = 4096;
inline constexpr std::size_t max_upstreams = 4096;
inline constexpr std::size_t max_balancers = 4096;
/// Maximum number of problems in one report.
inline constexpr std::size_t max_problems = 64;

inline constexpr std::string_view service_prefix = "service/";
inline constexpr std::string_view data_centre_prefix = "data-centre/";

/// std::monostate: the document is deleted.
using document_value = std::variant<std::monostate, service, data_centre>;

struct decoded_document {
  document_value value;
  /// Ids of the latest changes, the newest first, at most `max_operations`.
  std::vector<std::string> operations;
};

using decode_result = std::variant<decoded_document, std::vector<field_error>>;

/// Whether balancers load documents with this key.
bool is_configuration_key(std::string_view key);

std::string service_key(std::string_view name);
std::string data_centre_key(std::string_view name);

/// Takes the name from the key and everything else from the JSON `text`. Empty
/// text means a deleted document.
decode_result decode_document(std::string_view key, std::string_view text);

/// Returns text that decodes to the same value; empty for monostate. Does not
/// validate: `decode_document` rejects invalid values.
std::string encode_document(const document_value& value,
                            std::span<const std::string> operations);

/// Returns conflicts between documents: an id, address or upstream used twice,
/// an unknown data centre, overlapping prefixes of different teams in one
/// service. Documents that do not decode add their own problems.
std::vector<field_error> check_documents(std::span<const document> documents);

/// Returns the problems of `changed` and those that it causes among
/// `documents`. Problems that exist already are left out, so that they do not
/// block a change.
std::vector<field_error> check_change(std::vector<document> documents,
                                      const document& changed);

/// `in` or `out`.
std::string_view name_of(service_state state);

}  // namespace rosemarydrum
