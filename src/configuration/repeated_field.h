#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rosemarydrum::detail {

/// Returns the first field that occurs twice in one object of valid JSON. The
/// parser of Boost.JSON silently keeps the last one.
std::optional<std::string> repeated_field(std::string_view json);

}  // namespace rosemarydrum::detail
