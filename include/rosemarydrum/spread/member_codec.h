#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/spread/member_record.h"

namespace rosemarydrum {

/// The members' keys in the store, one for each.
inline constexpr std::string_view members_prefix = "rosemarydrum/members/";

std::string member_key(const std::string& name);

/// JSON text of the record; its name is in the key.
std::string encode_member(const member_record& member);
/// Nullopt if a field is missing or out of range.
std::optional<member_record> decode_member(std::string_view key,
                                           const std::string& text);

}  // namespace rosemarydrum
