#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum::detail {

/// Parses "id@address:port"; nullopt if malformed.
std::optional<peer_address> parse_peer(std::string_view text);

/// Returns an error for the first invalid value in `given`, or for a missing
/// required value if `is_required`; nullopt if all are valid.
std::optional<field_error> check_setting(const setting_description& setting,
                                         const std::vector<std::string>& given,
                                         bool is_required);

}  // namespace rosemarydrum::detail
