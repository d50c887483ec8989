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
/// Problems reported for one document.
inline constexpr std::size_t max_problems = 64;

inline constexpr std::string_view service_prefix = "service/";
inline constexpr std::string_view data_centre_prefix = "data-centre/";

/// Monostate: the document is deleted.
using document_value = std::variant<std::monostate, service, data_centre>;

struct decoded_document {
  document_value value;
  /// Ids of the latest changes, the newest first, at most `max_operations`.
  std::vector<std::string> operations;
};

using decode_result = std::variant<decoded_document, std::vector<field_error>>;

/// Whether balancers take in documents of this key.
bool is_configuration_key(std::string_view key);

std::string service_key(std::string_view name);
std::string data_centre_key(std::string_view name);

/// The name comes from the key, everything else from the JSON `text`. Empty
/// text is a deleted document.
decode_result decode_document(std::string_view key, std::string_view text);

/// Text that decodes to the same value; empty for monostate. Wrong values are
/// encoded as they are and refused by `decode_document`.
std::string encode_document(const document_value& value,
                            std::span<const std::string> operations);

/// Problems between documents: an id, address or upstream used twice, an
/// unknown data centre, overlapping prefixes of different teams in one
/// service. Documents that do not decode add their own problems.
std::vector<field_error> check_documents(std::span<const document> documents);

/// Problems of `changed` and those that it causes among `documents`. Others
/// that are wrong already do not prevent a change.
std::vector<field_error> check_change(std::vector<document> documents,
                                      const document& changed);

/// `in` or `out`.
std::string_view name_of(service_state state);

}  // namespace rosemarydrum
