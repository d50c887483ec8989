#include "command/log_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace rosemarydrum {
namespace {

namespace json = boost::json;

std::uint64_t take_number(json::object& from, std::string_view name) {
  const auto found = from.find(name);
  if (found == from.end() || !found->value().is_number()) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = found->value().to_number<std::uint64_t>(error);
  from.erase(found);
  return error ? 0 : number;
}

std::string take_text(json::object& from, std::string_view name) {
  const auto found = from.find(name);
  if (found == from.end() || !found->value().is_string()) {
    return {};
  }
  std::string text(found->value().as_string());
  from.erase(found);
  return text;
}

std::optional<logged_event> read_line(std::string_view line) {
  const auto begin = line.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  auto value = json::parse(line.substr(begin), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  auto& object = value.as_object();
  logged_event event;
  event.number = take_number(object, "event");
  event.unix_ms = take_number(object, "unix_ms");
  event.logical_time = take_number(object, "logical");
  event.name = take_text(object, "name");
  event.node = take_text(object, "node");
  event.run = take_text(object, "run");
  object.erase("severity");
  event.fields = std::move(object);
  return event.number == 0 || event.node.empty() ? std::nullopt
                                                 : std::optional(event);
}

}  // namespace

std::string logged_event::text(std::string_view field) const {
  const auto* value = fields.if_contains(field);
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

log_content read_log(std::istream& lines) {
  log_content content;
  for (std::string line; std::getline(lines, line);) {
    if (auto event = read_line(line)) {
      content.events.push_back(std::move(*event));
    } else {
      ++content.other_lines;
    }
  }
  return content;
}

}  // namespace rosemarydrum
