#include "command/report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace rosemarydrum {
namespace {

void print_line(std::ostream& out, const std::vector<std::string>& cells,
                const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size()) {
      line.append(widths[i] + 2 - cells[i].size(), ' ');
    }
  }
  out << line << '\n';
}

void print_table(std::ostream& out, const report& answer) {
  std::vector<std::vector<std::string>> lines = {answer.columns};
  for (const auto& row : answer.rows) {
    auto& line = lines.emplace_back();
    std::transform(row.begin(), row.end(), std::back_inserter(line), cell_text);
  }
  std::vector<std::size_t> widths(answer.columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    print_line(out, line, widths);
  }
}

void print_json(std::ostream& out, const report& answer) {
  boost::json::array rows;
  for (const auto& row : answer.rows) {
    boost::json::object written;
    for (std::size_t i = 0; i < row.size(); ++i) {
      written[answer.columns[i]] = row[i];
    }
    rows.emplace_back(std::move(written));
  }
  boost::json::array notes(answer.notes.begin(), answer.notes.end());
  out << boost::json::serialize(boost::json::object{
             {"rows", std::move(rows)}, {"notes", std::move(notes)}})
      << '\n';
}

void append_pretty(std::string& text, const boost::json::value& value,
                   std::size_t depth) {
  const auto new_line = [&](std::size_t to) {
    text += '\n';
    text.append(to * 2, ' ');
  };
  const auto* separator = "";
  if (value.is_object() && !value.get_object().empty()) {
    text += '{';
    for (const auto& item : value.get_object()) {
      text += separator;
      separator = ",";
      new_line(depth + 1);
      text += boost::json::serialize(boost::json::value(item.key()));
      text += ": ";
      append_pretty(text, item.value(), depth + 1);
    }
    new_line(depth);
    text += '}';
  } else if (value.is_array() && !value.get_array().empty()) {
    text += '[';
    for (const auto& item : value.get_array()) {
      text += separator;
      separator = ",";
      new_line(depth + 1);
      append_pretty(text, item, depth + 1);
    }
    new_line(depth);
    text += ']';
  } else {
    text += boost::json::serialize(value);
  }
}

}  // namespace

void print(std::ostream& out, const report& answer, output_format format) {
  if (!answer.text.empty()) {
    out << answer.text;
    if (answer.text.back() != '\n') {
      out << '\n';
    }
    return;
  }
  if (format == output_format::json) {
    print_json(out, answer);
    return;
  }
  if (!answer.columns.empty()) {
    print_table(out, answer);
  }
  for (const auto& note : answer.notes) {
    out << note << '\n';
  }
}

std::string cell_text(const boost::json::value& value) {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_bool()) {
    return value.get_bool() ? "yes" : "no";
  }
  return value.is_null() ? "-" : boost::json::serialize(value);
}

std::vector<boost::json::value> cells(std::vector<std::string> texts) {
  return {texts.begin(), texts.end()};
}

std::string pretty_json(const boost::json::value& value) {
  std::string text;
  append_pretty(text, value, 0);
  return text;
}

}  // namespace rosemarydrum
