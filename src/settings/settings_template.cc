#include <sstream>

#include "rosemarydrum/settings/settings.h"
#include "settings/settings_check.h"
#include "settings/settings_file.h"

/// Checks settings files with placeholders for values.
namespace rosemarydrum {
namespace {

constexpr std::string_view placeholder_begin = "{{";
constexpr std::string_view placeholder_end = "}}";
/// Replaces a value that contains a placeholder.
constexpr std::string_view unknown_value = "{{}}";

/// Returns `text` without section tags, and with `unknown_value` for each value
/// that contains a placeholder.
std::string replace_placeholders(const std::string& text) {
  std::string result;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    bool has_value = false;
    for (auto begin = line.find(placeholder_begin); begin != std::string::npos;
         begin = line.find(placeholder_begin)) {
      const auto end = line.find(placeholder_end, begin);
      if (end == std::string::npos) {
        break;
      }
      const auto kind = line[begin + placeholder_begin.size()];
      has_value = has_value ||
                  (kind != '#' && kind != '/' && kind != '^' && kind != ',');
      line.erase(begin, end + placeholder_end.size() - begin);
    }
    if (const auto equals = line.find('=');
        has_value && equals != std::string::npos) {
      line = line.substr(0, equals + 1) + std::string(unknown_value);
    }
    result += line + "\n";
  }
  return result;
}

}  // namespace

std::optional<field_error> check_settings_template(program which,
                                                   const std::string& text) {
  auto read = detail::read_settings_file(detail::options_of(which),
                                         replace_placeholders(text));
  if (const auto* wrong = std::get_if<field_error>(&read)) {
    return *wrong;
  }
  auto& raw = std::get<detail::raw_values>(read);
  for (const auto& setting : setting_table()) {
    if (!detail::is_used_by(setting, which)) {
      continue;
    }
    auto given = raw.all(std::string(setting.name));
    const bool is_required = given.empty();
    std::erase(given, unknown_value);
    if (auto wrong = detail::check_setting(setting, given, is_required)) {
      return wrong;
    }
  }
  return std::nullopt;
}

}  // namespace rosemarydrum
