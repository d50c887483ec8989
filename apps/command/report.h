#pragma once

#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// The output of a subcommand: a table or a verbatim text, and notes.
struct report {
  std::vector<std::string> columns;
  /// Each row has one value for each column.
  std::vector<std::vector<boost::json::value>> rows;
  /// JSON text that is printed instead of the table.
  std::string text;
  std::vector<std::string> notes;
};

/// Prints a table followed by notes, or JSON {"rows": [...], "notes": [...]}.
/// A text is printed verbatim.
void print(std::ostream& out, const report& answer, output_format format);

/// Converts texts to the cells of a row.
std::vector<boost::json::value> cells(std::vector<std::string> texts);

/// Formats a value for a table cell.
std::string cell_text(const boost::json::value& value);

/// Formats an object or array on several indented lines.
std::string pretty_json(const boost::json::value& value);

}  // namespace rosemarydrum
