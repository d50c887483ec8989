#pragma once

#include <string>
#include <variant>
#include <vector>

#include "rosemarydrum/settings/forwarder_options.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// The settings of a forwarder from flags, environment and settings file.
class settings_source {
 public:
  /// `default_file` is read unless a setting names a file.
  settings_source(std::vector<std::string> arguments, environment variables,
                  std::string default_file);

  /// Reads the settings. A file that is named but cannot be read is an error.
  std::variant<forwarder_options, field_error> load();
  /// Whether the file differs from that of the last `load`.
  bool has_changed() const;

 private:
  std::vector<std::string> arguments_;
  environment variables_;
  std::string file_;
  std::string loaded_text_;
};

/// Names of the settings that differ and take effect at once, and of those that
/// need a restart.
struct settings_difference {
  std::vector<std::string> at_once;
  std::vector<std::string> at_restart;
};
settings_difference difference(const forwarder_options& before,
                               const forwarder_options& after);

}  // namespace rosemarydrum
