#include "forwarder/settings_source.h"

#include <fstream>
#include <iterator>
#include <optional>

namespace rosemarydrum {
namespace {

constexpr std::string_view file_flag = "--settings-file";
constexpr std::string_view file_setting = "settings-file";

/// Returns the settings file that a flag or the environment names.
std::optional<std::string> settings_file(
    const std::vector<std::string>& arguments, const environment& variables) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    if (argument == file_flag && i + 1 < arguments.size()) {
      return arguments[i + 1];
    }
    if (argument.starts_with(file_flag) && argument.size() > file_flag.size() &&
        argument[file_flag.size()] == '=') {
      return std::string(argument.substr(file_flag.size() + 1));
    }
  }
  const char* value = variables(environment_name(file_setting).c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> read_text(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace

settings_source::settings_source(std::vector<std::string> arguments,
                                 environment variables,
                                 std::string default_file)
    : arguments_(std::move(arguments)),
      variables_(std::move(variables)),
      file_(settings_file(arguments_, variables_)
                .value_or(std::move(default_file))) {}

std::variant<forwarder_options, field_error> settings_source::load() {
  if (!file_.empty()) {
    auto text = read_text(file_);
    if (!text) {
      return field_error{"--" + std::string(file_setting), file_,
                         "a readable file",
                         "set --" + std::string(file_setting) + " or " +
                             environment_name(file_setting)};
    }
    loaded_text_ = std::move(*text);
  }
  auto loaded =
      load_settings(program::forwarder, arguments_, variables_, loaded_text_);
  if (auto* problem = std::get_if<field_error>(&loaded)) {
    return std::move(*problem);
  }
  return std::get<settings>(std::move(loaded)).forwarder;
}

bool settings_source::has_changed() const {
  if (file_.empty()) {
    return false;
  }
  const auto text = read_text(file_);
  // A missing or empty file may be in the middle of a replacement; the next
  // check reads it.
  return text && !text->empty() && *text != loaded_text_;
}

settings_difference difference(const forwarder_options& before,
                               const forwarder_options& after) {
  settings_difference found;
  const auto compare = [](bool same, const char* name,
                          std::vector<std::string>& names) {
    if (!same) {
      names.emplace_back(name);
    }
  };
  compare(before.seeds == after.seeds, "seed", found.immediate);
  compare(before.configuration_bound == after.configuration_bound,
          "configuration-bound-ms", found.immediate);
  compare(before.drain_bound == after.drain_bound, "drain-bound-ms",
          found.immediate);
  compare(before.data_centre_bound == after.data_centre_bound,
          "data-centre-bound-ms", found.immediate);
  compare(before.stop_grace == after.stop_grace, "stop-grace-s",
          found.immediate);
  compare(before.log_level == after.log_level, "log-level", found.immediate);
  compare(before.log_flows == after.log_flows, "log-flows", found.immediate);
  compare(before.name == after.name, "name", found.after_restart);
  compare(before.data_centre == after.data_centre, "data-centre",
          found.after_restart);
  compare(before.listen == after.listen, "listen", found.after_restart);
  compare(before.ready_listen == after.ready_listen, "ready-listen",
          found.after_restart);
  compare(before.peer_listen == after.peer_listen, "peer-listen",
          found.after_restart);
  compare(before.metrics_listen == after.metrics_listen, "metrics-listen",
          found.after_restart);
  compare(before.store == after.store, "store", found.after_restart);
  compare(before.processor_share == after.processor_share, "processor-share",
          found.after_restart);
  compare(before.flow_lifetime == after.flow_lifetime, "flow-lifetime-s",
          found.after_restart);
  compare(before.cold_factor == after.cold_factor, "cold-factor",
          found.after_restart);
  compare(before.cold_extra == after.cold_extra, "cold-extra",
          found.after_restart);
  return found;
}

}  // namespace rosemarydrum
