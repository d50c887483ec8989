#pragma once

#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/store_json.h"

namespace rosemarydrum::standins {

/// A request's path and query parameters, percent-decoded.
struct http_target {
  std::string path;
  std::map<std::string, std::string> parameters;

  std::string text(const std::string& name) const {
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
  }

  /// Returns nullopt if the parameter is missing or not a number.
  std::optional<std::uint64_t> number(const std::string& name) const {
    const auto value = text(name);
    std::uint64_t result = 0;
    const auto* end = value.data() + value.size();
    const auto [last, error] = std::from_chars(value.data(), end, result);
    if (value.empty() || error != std::errc{} || last != end) {
      return std::nullopt;
    }
    return result;
  }
};

inline std::optional<http_target> parse_target(std::string_view target) {
  const auto question = target.find('?');
  const auto path = store_json::unescape(target.substr(0, question));
  if (!path) {
    return std::nullopt;
  }
  http_target parsed{*path, {}};
  auto rest = question == std::string_view::npos ? std::string_view()
                                                 : target.substr(question + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto item = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const auto value = store_json::unescape(item.substr(equals + 1));
    if (!value) {
      return std::nullopt;
    }
    parsed.parameters[std::string(item.substr(0, equals))] = *value;
  }
  return parsed;
}

}  // namespace rosemarydrum::standins
