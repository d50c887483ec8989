#include "command/operation_id.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "rosemarydrum/number_text.h"

namespace rosemarydrum {
namespace {

constexpr std::size_t max_operator_bytes = 20;
constexpr std::size_t max_action_bytes = 16;

}  // namespace

std::string operation_id(const operation& change) {
  std::array<char, 9> random{};
  std::snprintf(random.data(), random.size(), "%08x", change.random);
  return std::to_string(change.time) + '.' +
         change.operator_name.substr(0, max_operator_bytes) + '.' +
         change.action.substr(0, max_action_bytes) + '.' + random.data();
}

std::optional<operation> parse_operation_id(std::string_view id) {
  // The operator's name may contain dots.
  const auto first = id.find('.');
  const auto last = id.rfind('.');
  if (first == std::string_view::npos || last <= first) {
    return std::nullopt;
  }
  const auto middle = id.substr(first + 1, last - first - 1);
  const auto dot = middle.rfind('.');
  const auto time = parse_number(id.substr(0, first));
  const auto random = id.substr(last + 1);
  operation change;
  const auto [end, error] = std::from_chars(
      random.data(), random.data() + random.size(), change.random, 16);
  if (dot == std::string_view::npos || !time || error != std::errc{} ||
      end != random.data() + random.size()) {
    return std::nullopt;
  }
  change.time = *time;
  change.operator_name = middle.substr(0, dot);
  change.action = middle.substr(dot + 1);
  return change;
}

}  // namespace rosemarydrum
