#pragma once

#include <string>
#include <variant>
#include <vector>

#include "rosemarydrum/settings/forwarder_options.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// Loads the settings of a forwarder from flags, environment and settings file.
class settings_source {
 public:
  /// `default_file` is read unless a flag or the environment names a file.
  settings_source(std::vector<std::string> arguments, environment variables,
                  std::string default_file);

  /// Returns an error if a settings file is named but cannot be read, or if a
  /// setting is invalid.
  std::variant<forwarder_options, field_error> load();
  /// Returns whether the file differs from that of the last `load`.
  bool has_changed() const;

 private:
  std::vector<std::string> arguments_;
  environment variables_;
  std::string file_;
  std::string loaded_text_;
};

/// Names of the changed settings that take effect at once, and of those that
/// need a restart.
struct settings_difference {
  std::vector<std::string> immediate;
  std::vector<std::string> after_restart;
};
settings_difference difference(const forwarder_options& before,
                               const forwarder_options& after);

}  // namespace rosemarydrum
