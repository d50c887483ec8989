#pragma once

#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// What a subcommand answers: a table, or a text as it is, and notes.
struct report {
  std::vector<std::string> columns;
  /// A value for each column.
  std::vector<std::vector<boost::json::value>> rows;
  /// JSON text that is printed instead of the table.
  std::string text;
  std::vector<std::string> notes;
};

/// As a table: columns, then notes. As JSON: {"rows": [...], "notes": [...]};
/// a text is printed as it is.
void print(std::ostream& out, const report& answer, output_format format);

/// Rows whose cells are texts.
std::vector<boost::json::value> cells(std::vector<std::string> texts);

/// A value as a table shows it.
std::string cell_text(const boost::json::value& value);

/// One object or array on several indented lines.
std::string pretty_json(const boost::json::value& value);

}  // namespace rosemarydrum
