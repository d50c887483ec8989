#include "configuration/field_reader.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace rosemarydrum::detail {
namespace {

// Longer values are truncated in error messages.
constexpr std::size_t max_displayed_bytes = 64;

std::string display_text(const boost::json::value& value) {
  if (value.is_object() || value.is_array()) {
    return value.is_object() ? "an object" : "an array";
  }
  std::string text = boost::json::serialize(value);
  if (text.size() > max_displayed_bytes) {
    std::size_t end = max_displayed_bytes;
    // Does not split a UTF-8 character.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0U) == 0x80) {
      --end;
    }
    text.resize(end);
    text += "...";
  }
  return text;
}

bool is_plain_text(std::string_view text, std::size_t max) {
  return !text.empty() && text.size() <= max &&
         std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
         });
}

std::string text_rule(std::size_t max) {
  return "text of 1 to " + std::to_string(max) +
         " bytes without control characters";
}

}  // namespace

void add_problem(problem_list& problems, field_error problem) {
  if (problems.size() < max_problems) {
    problems.push_back(std::move(problem));
  }
}

void field_reader::problem(std::string_view name, std::string allowed,
                           std::string fix) {
  const auto* value = object_.if_contains(name);
  add_problem(problems_, {path_ + std::string(name),
                          value == nullptr ? "missing" : display_text(*value),
                          std::move(allowed), std::move(fix)});
}

const boost::json::value* field_reader::find(std::string_view name,
                                             std::string_view allowed) {
  read_fields_.push_back(name);
  const auto* value = object_.if_contains(name);
  if (value == nullptr) {
    problem(name, std::string(allowed), "add the field");
  }
  return value;
}

std::optional<std::uint64_t> field_reader::read_number(std::string_view name,
                                                       std::uint64_t min,
                                                       std::uint64_t max) {
  const auto allowed =
      "an integer from " + std::to_string(min) + " to " + std::to_string(max);
  const auto* value = find(name, allowed);
  if (value == nullptr) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> number;
  if (value->is_uint64()) {
    number = value->get_uint64();
  } else if (value->is_int64() && value->get_int64() >= 0) {
    number = static_cast<std::uint64_t>(value->get_int64());
  }
  if (!number || *number < min || *number > max) {
    problem(name, allowed, "choose a value in the range");
    return std::nullopt;
  }
  return number;
}

void field_reader::flag(std::string_view name, bool& target) {
  const auto* value = find(name, "true or false");
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    problem(name, "true or false", "write true or false without quotes");
    return;
  }
  target = value->get_bool();
}

void field_reader::text(std::string_view name, std::string& target,
                        std::size_t max) {
  const auto* value = find(name, text_rule(max));
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() || !is_plain_text(value->get_string(), max)) {
    problem(name, text_rule(max),
            "shorten the text or remove control characters");
    return;
  }
  target = std::string(value->get_string());
}

void field_reader::address(std::string_view name, endpoint& target) {
  constexpr std::string_view allowed =
      "an IPv4 address and port, as in 10.0.0.1:9000";
  const auto* value = find(name, allowed);
  if (value == nullptr) {
    return;
  }
  const auto parsed = value->is_string() ? parse_endpoint(value->get_string())
                                         : std::optional<endpoint>();
  if (!parsed || parsed->address == 0) {
    problem(name, std::string(allowed), "write the numeric address");
    return;
  }
  target = *parsed;
}

void field_reader::prefix(std::string_view name, ip_prefix& target) {
  constexpr std::string_view allowed =
      "an IPv4 prefix without host bits, as in 10.1.0.0/16";
  const auto* value = find(name, allowed);
  if (value == nullptr) {
    return;
  }
  const auto parsed = value->is_string() ? parse_prefix(value->get_string())
                                         : std::optional<ip_prefix>();
  if (!parsed) {
    problem(name, std::string(allowed),
            "write the team's prefix without host bits");
    return;
  }
  target = *parsed;
}

void field_reader::state(std::string_view name, service_state& target) {
  const auto* value = find(name, "\"in\" or \"out\"");
  if (value == nullptr) {
    return;
  }
  for (const auto state : {service_state::in, service_state::out}) {
    if (value->is_string() &&
        std::string_view(value->get_string()) == name_of(state)) {
      target = state;
      return;
    }
  }
  problem(name, "\"in\" or \"out\"", "choose one of the two");
}

void field_reader::objects(std::string_view name, std::size_t max,
                           const std::function<void(field_reader&)>& read) {
  const auto allowed =
      "an array of at most " + std::to_string(max) + " objects";
  const auto* value = find(name, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() || value->get_array().size() > max) {
    problem(name, allowed, "write an array with at most that many objects");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : value->get_array()) {
    const auto path =
        path_ + std::string(name) + "[" + std::to_string(index++) + "]";
    if (!item.is_object()) {
      add_problem(problems_, {path, display_text(item), "an object",
                              "write an object with the fields"});
      continue;
    }
    field_reader reader(item.get_object(), path + ".", problems_);
    read(reader);
    reader.finish();
  }
}

void field_reader::texts(std::string_view name,
                         std::vector<std::string>& target, std::size_t max) {
  constexpr std::size_t max_text_bytes = 64;
  if (!has(name)) {
    return;
  }
  const auto* value = find(name, "");
  const bool valid =
      value->is_array() && value->get_array().size() <= max &&
      std::all_of(value->get_array().begin(), value->get_array().end(),
                  [](const boost::json::value& item) {
                    return item.is_string() &&
                           is_plain_text(item.get_string(), max_text_bytes);
                  });
  if (!valid) {
    problem(name,
            "an array of at most " + std::to_string(max) + " items, each a " +
                text_rule(max_text_bytes),
            "correct or remove the invalid items");
    return;
  }
  for (const auto& item : value->get_array()) {
    target.emplace_back(item.get_string());
  }
}

void field_reader::finish() {
  for (const auto& item : object_) {
    const std::string_view name(item.key());
    if (std::find(read_fields_.begin(), read_fields_.end(), name) ==
        read_fields_.end()) {
      problem(name, "no field of this name", "remove the field");
    }
  }
}

}  // namespace rosemarydrum::detail
