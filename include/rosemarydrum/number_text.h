#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarydrum {

/// Parses decimal digits without sign or blanks; nullopt if malformed or above
/// 2^64 - 1.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// Parses a number below 2^32 with up to three decimal places into thousandths:
/// "0.25" gives 250.
std::optional<std::uint64_t> parse_thousandths(std::string_view text);
/// Formats thousandths: 250 as "0.25", 1000 as "1".
std::string thousandths_text(std::uint64_t thousandths);

}  // namespace rosemarydrum
