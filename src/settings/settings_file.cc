#include "settings/settings_file.h"

#include <boost/program_options.hpp>
#include <sstream>

namespace rosemarydrum::detail {

namespace po = boost::program_options;
using values = std::vector<std::string>;

bool is_used_by(const setting_description& setting, program which) {
  return setting.used_by == which ||
         (setting.used_by == program::both && which != program::forwarder);
}

po::options_description options_of(program which) {
  po::options_description options("Settings");
  auto add = options.add_options();
  add("help,h", "Print this help.");
  for (const auto& setting : setting_table()) {
    if (is_used_by(setting, which)) {
      std::string text(setting.text);
      text += " Allowed: " + allowed_values(setting) + ".";
      if (!setting.default_value.empty()) {
        text += " Default: " + std::string(setting.default_value) + ".";
      }
      text += " Environment: " + environment_name(setting.name) + ".";
      add(std::string(setting.name).c_str(), po::value<values>(), text.c_str());
    }
  }
  return options;
}

std::variant<raw_values, field_error> read_settings_file(
    const po::options_description& options, const std::string& text) {
  raw_values raw;
  try {
    std::istringstream stream(text);
    for (const auto& option : po::parse_config_file(stream, options).options) {
      for (const auto& value : option.value) {
        if (!value.empty()) {
          raw.add(option.string_key, {value});
        }
      }
    }
  } catch (const po::error& error) {
    return field_error{"settings file", error.what(),
                       "lines \"setting = value\" with the settings of --help",
                       "correct the line"};
  }
  return raw;
}

}  // namespace rosemarydrum::detail
