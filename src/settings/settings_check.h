#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum::detail {

/// "id@address:port"; nullopt if malformed.
std::optional<peer_address> parse_peer(std::string_view text);

/// The first wrong one of the values `given` for `setting`, or a missing one
/// if `is_required`.
std::optional<field_error> check_setting(const setting_description& setting,
                                         const std::vector<std::string>& given,
                                         bool is_required);

}  // namespace rosemarydrum::detail
