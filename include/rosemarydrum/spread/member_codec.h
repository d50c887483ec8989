#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/spread/member_record.h"

namespace rosemarydrum {

/// Prefix of the store keys of member records; each member has one key.
inline constexpr std::string_view members_prefix = "rosemarydrum/members/";

std::string member_key(const std::string& name);

/// Returns the record as JSON, without the name, which is in the key.
std::string encode_member(const member_record& member);
/// Returns nullopt if the key is not a member key, or the text is not JSON or
/// lacks a valid field.
std::optional<member_record> decode_member(std::string_view key,
                                           const std::string& text);

}  // namespace rosemarydrum
