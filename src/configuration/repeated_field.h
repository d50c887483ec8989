#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rosemarydrum::detail {

/// The first field that occurs twice in one object of valid JSON. The parser
/// of Boost.JSON would keep the last one without notice.
std::optional<std::string> repeated_field(std::string_view json);

}  // namespace rosemarydrum::detail
