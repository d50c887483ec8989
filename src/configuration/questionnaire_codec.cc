#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "configuration/field_reader.h"
#include "rosemarydrum/configuration/questionnaire.h"

namespace rosemarydrum {
namespace {

using detail::field_reader;
using detail::problem_list;

constexpr std::size_t max_questionnaire_bytes = 65'536;
constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_label_bytes = 64;
constexpr std::uint64_t max_load = 10'000'000;
constexpr std::size_t max_depth = 4;

bool is_name(std::string_view name) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  return !name.empty() && name.size() <= max_name_bytes &&
         is_alphanumeric(name.front()) &&
         std::all_of(name.begin(), name.end(),
                     [&](char c) { return is_alphanumeric(c) || c == '-'; });
}

// The names are parts of the document's key, so they have its restrictions.
void read_name(field_reader& fields, std::string_view field,
               std::string& target) {
  std::string text;
  fields.text(field, text, max_label_bytes);
  if (!text.empty() && !is_name(text)) {
    fields.problem(field,
                   "1 to 63 characters of a-z, 0-9 and -, not starting with -",
                   "write the name without other characters");
    return;
  }
  target = std::move(text);
}

}  // namespace

std::string questionnaire_template() {
  return R"({
  "service": "hour-signal",
  "team": "tower-controllers",
  "source": "10.1.0.0/16",
  "requests_per_second": 200,
  "idempotent": true,
  "max_priority": 100,
  "contact": "tower@example.org"
}
)";
}

std::variant<decoded_questionnaire, std::vector<field_error>>
decode_questionnaire(std::string_view text) {
  if (text.size() > max_questionnaire_bytes) {
    return problem_list{
        {"questionnaire", std::to_string(text.size()) + " bytes",
         "at most " + std::to_string(max_questionnaire_bytes) + " bytes",
         "start from `rosemarydrum questionnaire template`"}};
  }
  boost::json::parse_options options;
  options.max_depth = max_depth;
  boost::json::error_code error;
  const auto parsed = boost::json::parse(text, error, {}, options);
  if (error || !parsed.is_object()) {
    return problem_list{
        {"questionnaire", error ? error.message() : "not a JSON object",
         "a JSON object", "start from `rosemarydrum questionnaire template`"}};
  }
  problem_list problems;
  field_reader fields(parsed.get_object(), "", problems);
  decoded_questionnaire decoded;
  auto& value = decoded.value;
  read_name(fields, "service", value.service);
  read_name(fields, "team", value.team);
  fields.prefix("source", value.source);
  fields.number("requests_per_second", value.requests_per_second, 1, max_load);
  fields.flag("idempotent", value.idempotent);
  fields.number("max_priority", value.max_priority, 0, UINT8_MAX);
  fields.text("contact", value.contact, max_label_bytes);
  if (fields.has("submitted_by")) {
    fields.text("submitted_by", value.submitted_by, max_label_bytes);
  }
  if (fields.has("operation")) {
    decoded.operations.emplace_back();
    fields.text("operation", decoded.operations.back(), max_label_bytes);
  }
  fields.texts("earlier_operations", decoded.operations, max_operations - 1);
  fields.finish();
  if (!problems.empty()) {
    return problems;
  }
  return decoded;
}

std::string encode_questionnaire(const questionnaire& value,
                                 const std::vector<std::string>& operations) {
  boost::json::object written = {
      {"service", value.service},
      {"team", value.team},
      {"source", to_string(value.source)},
      {"requests_per_second", value.requests_per_second},
      {"idempotent", value.idempotent},
      {"max_priority", value.max_priority},
      {"contact", value.contact}};
  if (!value.submitted_by.empty()) {
    written["submitted_by"] = value.submitted_by;
  }
  if (!operations.empty()) {
    written["operation"] = operations.front();
    boost::json::array earlier;
    const auto kept = std::min(operations.size(), max_operations);
    for (std::size_t i = 1; i < kept; ++i) {
      earlier.emplace_back(operations[i]);
    }
    if (!earlier.empty()) {
      written["earlier_operations"] = std::move(earlier);
    }
  }
  return boost::json::serialize(written);
}

}  // namespace rosemarydrum
