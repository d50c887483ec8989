#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarydrum {

/// Decimal digits only, no sign, no blanks; nullopt above 2^64 - 1.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// A number with up to three decimal places, in thousandths: "0.25" is 250.
std::optional<std::uint64_t> parse_thousandths(std::string_view text);
/// 250 is "0.25", 1000 is "1".
std::string thousandths_text(std::uint64_t thousandths);

}  // namespace rosemarydrum
