#pragma once

#include <string>

namespace rosemarydrum {

/// An invalid field of a settings list, questionnaire or command.
struct field_error {
  std::string key;
  /// The rejected value; empty for secrets.
  std::string value;
  std::string allowed;
  std::string fix;

  friend bool operator==(const field_error&, const field_error&) = default;
};

/// Formats key, value, allowed range and fix on one line.
std::string to_line(const field_error& error);

}  // namespace rosemarydrum
