#include "rosemarydrum/number_text.h"

#include <charconv>
#include <limits>

namespace rosemarydrum {
namespace {

constexpr std::size_t decimal_places = 3;
constexpr std::uint64_t thousandths_of_one = 1000;

}  // namespace

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc{} || stopped != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> parse_thousandths(std::string_view text) {
  const auto point = text.find('.');
  const auto whole = parse_number(text.substr(0, point));
  if (!whole || *whole > std::numeric_limits<std::uint32_t>::max()) {
    return std::nullopt;
  }
  std::string places;
  if (point != std::string_view::npos) {
    places = text.substr(point + 1);
    if (places.empty()) {
      return std::nullopt;
    }
  }
  // More than three places are allowed only if the rest are zeros.
  while (places.size() > decimal_places && places.back() == '0') {
    places.pop_back();
  }
  if (places.size() > decimal_places) {
    return std::nullopt;
  }
  places.resize(decimal_places, '0');
  const auto part = parse_number(places);
  return part ? std::optional(*whole * thousandths_of_one + *part)
              : std::nullopt;
}

std::string thousandths_text(std::uint64_t thousandths) {
  auto text = std::to_string(thousandths / thousandths_of_one);
  if (const auto part = thousandths % thousandths_of_one; part > 0) {
    auto places = std::to_string(thousandths_of_one + part).substr(1);
    while (places.back() == '0') {
      places.pop_back();
    }
    text += ".";
    text += places;
  }
  return text;
}

}  // namespace rosemarydrum
