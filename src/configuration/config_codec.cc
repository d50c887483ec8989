#include "rosemarydrum/configuration/config_codec.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "configuration/field_reader.h"
#include "configuration/repeated_field.h"

namespace rosemarydrum {
namespace {

using detail::field_reader;
using detail::problem_list;

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_label_bytes = 64;
constexpr std::uint64_t max_load = 10'000'000;
// The parser rejects deeper nesting. Valid documents have four levels.
constexpr std::size_t max_depth = 8;

constexpr std::array<std::string_view, 2> state_names{"in", "out"};

bool is_name(std::string_view name) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  return !name.empty() && name.size() <= max_name_bytes &&
         is_alphanumeric(name.front()) &&
         std::all_of(name.begin(), name.end(),
                     [&](char c) { return is_alphanumeric(c) || c == '-'; });
}

void read_operations(field_reader& fields, std::vector<std::string>& target) {
  if (fields.has("operation")) {
    target.emplace_back();
    fields.text("operation", target.back(), max_label_bytes);
  }
  fields.texts("earlier_operations", target, max_operations - 1);
}

approval read_approval(field_reader& fields) {
  approval read;
  fields.number("caller", read.caller, 1, UINT32_MAX);
  fields.text("team", read.team, max_label_bytes);
  fields.prefix("source", read.source);
  fields.flag("idempotent", read.idempotent);
  fields.number("max_priority", read.max_priority, 0, UINT8_MAX);
  fields.number("requests_per_second", read.requests_per_second, 1, max_load);
  return read;
}

upstream read_upstream(field_reader& fields) {
  upstream read;
  fields.number("id", read.id, 1, UINT32_MAX);
  fields.number("data_centre", read.data_centre, 1, UINT16_MAX);
  fields.address("address", read.address);
  fields.number("slots", read.slots, 1, 1024);
  fields.state("state", read.state);
  return read;
}

balancer_entry read_balancer(field_reader& fields) {
  balancer_entry read;
  fields.number("id", read.id, 1, UINT32_MAX);
  fields.address("address", read.address);
  return read;
}

service read_service(std::string_view name, field_reader& fields) {
  service read;
  read.name = name;
  fields.number("id", read.id, 1, UINT32_MAX);
  fields.text("owner", read.owner, max_label_bytes);
  fields.address("address", read.address);
  std::set<std::pair<std::uint32_t, std::uint8_t>> sources;
  std::map<caller_id, std::string> teams;
  fields.objects("approvals", max_approvals, [&](field_reader& item) {
    auto entry = read_approval(item);
    if (!sources.emplace(entry.source.address, entry.source.length).second) {
      item.problem("source", "a prefix that no other approval has",
                   "remove one of the two approvals");
    }
    if (teams.try_emplace(entry.caller, entry.team).first->second !=
        entry.team) {
      item.problem("caller", "one team for each caller id",
                   "choose another caller id");
    }
    read.approvals.push_back(std::move(entry));
  });
  std::set<upstream_id> ids;
  fields.objects("upstreams", max_upstreams, [&](field_reader& item) {
    read.upstreams.push_back(read_upstream(item));
    if (!ids.insert(read.upstreams.back().id).second) {
      item.problem("id", "an id that no other upstream has",
                   "choose another id");
    }
  });
  return read;
}

data_centre read_data_centre(std::string_view name, field_reader& fields) {
  data_centre read;
  read.name = name;
  fields.number("id", read.id, 1, UINT16_MAX);
  fields.state("state", read.state);
  std::set<balancer_id> ids;
  fields.objects("balancers", max_balancers, [&](field_reader& item) {
    read.balancers.push_back(read_balancer(item));
    if (!ids.insert(read.balancers.back().id).second) {
      item.problem("id", "an id that no other balancer has",
                   "choose another id");
    }
  });
  return read;
}

boost::json::object write_approval(const approval& value) {
  return {{"caller", value_of(value.caller)},
          {"team", value.team},
          {"source", to_string(value.source)},
          {"idempotent", value.idempotent},
          {"max_priority", value.max_priority},
          {"requests_per_second", value.requests_per_second}};
}

boost::json::object write_upstream(const upstream& value) {
  return {{"id", value_of(value.id)},
          {"data_centre", value_of(value.data_centre)},
          {"address", to_string(value.address)},
          {"slots", value.slots},
          {"state", name_of(value.state)}};
}

boost::json::object write_balancer(const balancer_entry& value) {
  return {{"id", value_of(value.id)}, {"address", to_string(value.address)}};
}

template <typename Range, typename Write>
boost::json::array write_all(const Range& items, Write write) {
  boost::json::array written;
  written.reserve(items.size());
  for (const auto& item : items) {
    written.emplace_back(write(item));
  }
  return written;
}

boost::json::object write_value(const service& value) {
  return {{"id", value_of(value.id)},
          {"owner", value.owner},
          {"address", to_string(value.address)},
          {"approvals", write_all(value.approvals, write_approval)},
          {"upstreams", write_all(value.upstreams, write_upstream)}};
}

boost::json::object write_value(const data_centre& value) {
  return {{"id", value_of(value.id)},
          {"state", name_of(value.state)},
          {"balancers", write_all(value.balancers, write_balancer)}};
}

decode_result one_problem(field_error problem) {
  return problem_list{std::move(problem)};
}

}  // namespace

std::string_view name_of(service_state state) {
  return state_names.at(static_cast<std::size_t>(state));
}

bool is_configuration_key(std::string_view key) {
  return key.starts_with(service_prefix) || key.starts_with(data_centre_prefix);
}

std::string service_key(std::string_view name) {
  return std::string(service_prefix) + std::string(name);
}

std::string data_centre_key(std::string_view name) {
  return std::string(data_centre_prefix) + std::string(name);
}

decode_result decode_document(std::string_view key, std::string_view text) {
  const bool is_service = key.starts_with(service_prefix);
  const bool is_data_centre = key.starts_with(data_centre_prefix);
  const auto name = is_service       ? key.substr(service_prefix.size())
                    : is_data_centre ? key.substr(data_centre_prefix.size())
                                     : std::string_view();
  if (!is_name(name)) {
    return one_problem({"key", std::string(key.substr(0, 128)),
                        "service/<name> or data-centre/<name>, the name of 1 "
                        "to 63 characters of a-z, 0-9 and -, not starting with "
                        "-",
                        "choose another key"});
  }
  if (text.empty()) {
    return decoded_document{};
  }
  if (text.size() > max_document_bytes) {
    return one_problem(
        {"document", std::to_string(text.size()) + " bytes",
         "at most " + std::to_string(max_document_bytes) + " bytes",
         "remove entries or split the service"});
  }
  boost::json::parse_options options;
  options.max_depth = max_depth;
  boost::json::error_code error;
  const auto parsed = boost::json::parse(text, error, {}, options);
  if (error || !parsed.is_object()) {
    return one_problem({"document",
                        error ? error.message() : "not a JSON object",
                        "a JSON object", "correct the JSON"});
  }
  if (const auto field = detail::repeated_field(text)) {
    return one_problem({*field, "repeated", "each field once in an object",
                        "remove one of the two"});
  }
  problem_list problems;
  field_reader fields(parsed.get_object(), "", problems);
  decoded_document decoded;
  if (is_service) {
    decoded.value = read_service(name, fields);
  } else {
    decoded.value = read_data_centre(name, fields);
  }
  read_operations(fields, decoded.operations);
  fields.finish();
  if (!problems.empty()) {
    return problems;
  }
  return decoded;
}

std::string encode_document(const document_value& value,
                            std::span<const std::string> operations) {
  if (std::holds_alternative<std::monostate>(value)) {
    return {};
  }
  auto written = value.index() == 1 ? write_value(std::get<service>(value))
                                    : write_value(std::get<data_centre>(value));
  operations = operations.first(std::min(operations.size(), max_operations));
  if (!operations.empty()) {
    written["operation"] = operations.front();
    written["earlier_operations"] = write_all(
        operations.subspan(1), [](const std::string& id) { return id; });
  }
  return boost::json::serialize(written);
}

}  // namespace rosemarydrum
