#include "rosemarydrum/settings/settings.h"

#include <boost/program_options.hpp>
#include <sstream>

#include "settings/raw_values.h"
#include "settings/settings_check.h"
#include "settings/settings_file.h"

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;
using detail::is_used_by;
using detail::options_of;
using detail::raw_values;
using values = std::vector<std::string>;

values split(const std::string& list) {
  values parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

/// Returns the address of setting `name`; if it is not set, the data address
/// with the port raised by `offset`. Port 0 stays 0.
std::variant<endpoint, field_error> derive_address(raw_values& raw,
                                                   const std::string& name,
                                                   std::uint16_t offset) {
  if (!raw.all(name).empty()) {
    return raw.address(name);
  }
  auto address = raw.address("listen");
  if (address.port == 0) {
    return address;
  }
  if (address.port > 65'535 - offset) {
    return field_error{"--" + name, std::to_string(address.port + offset),
                       "port from 0 to 65535",
                       "set --" + name + " or a lower port in --listen"};
  }
  address.port = static_cast<std::uint16_t>(address.port + offset);
  return address;
}

forwarder_options to_forwarder_options(raw_values& raw) {
  forwarder_options result;
  result.name = raw.first("name");
  result.data_centre = raw.first("data-centre");
  result.listen = raw.address("listen");
  result.ready_listen = raw.address("ready-listen");
  result.peer_listen = raw.address("peer-listen");
  result.metrics_listen = raw.address("metrics-listen");
  result.store = raw.address("store");
  for (const auto& value : raw.all("seed")) {
    result.seeds.push_back(*parse_endpoint(value, 0));
  }
  result.processor_share = raw.thousandths("processor-share");
  result.flow_lifetime = seconds(raw.number<std::int64_t>("flow-lifetime-s"));
  result.configuration_bound =
      milliseconds(raw.number<std::int64_t>("configuration-bound-ms"));
  result.drain_bound = milliseconds(raw.number<std::int64_t>("drain-bound-ms"));
  result.data_centre_bound =
      milliseconds(raw.number<std::int64_t>("data-centre-bound-ms"));
  result.stop_grace = seconds(raw.number<std::int64_t>("stop-grace-s"));
  result.cold_factor = raw.thousandths("cold-factor");
  result.cold_extra = raw.number<std::uint32_t>("cold-extra");
  result.log_level = raw.first("log-level");
  result.log_flows = raw.number<std::uint32_t>("log-flows");
  return result;
}

std::variant<settings, field_error> to_settings(raw_values& raw) {
  settings result;
  result.id = raw.number<balancer_id>("id");
  result.data_centre = raw.number<data_centre_id>("data-centre");
  result.listen = raw.address("listen");
  auto rpc = derive_address(raw, "rpc-listen", 1);
  auto metrics = derive_address(raw, "metrics-listen", 2);
  for (auto* address : {&rpc, &metrics}) {
    if (const auto* wrong = std::get_if<field_error>(address)) {
      return *wrong;
    }
  }
  result.rpc_listen = std::get<endpoint>(rpc);
  result.metrics_listen = std::get<endpoint>(metrics);
  if (!raw.all("store").empty()) {
    result.store = raw.address("store");
  }
  for (const auto& value : raw.all("fabric")) {
    result.fabric.push_back(*parse_endpoint(value, 0));
  }
  result.token_secret = raw.first("token-secret");
  for (const auto& value : raw.all("peer")) {
    result.peers.push_back(*detail::parse_peer(value));
  }
  result.log_level = raw.first("log-level");
  result.output = raw.first("output") == "json" ? output_format::json
                                                : output_format::table;
  result.timeout = milliseconds(raw.number<std::int64_t>("timeout-ms"));
  result.operator_name = raw.first("operator");
  return result;
}

}  // namespace

std::variant<settings, field_error> load_settings(
    program which, const std::vector<std::string>& arguments,
    const environment& variables, const std::string& file_text) {
  const auto options = options_of(which);
  auto in_file = detail::read_settings_file(options, file_text);
  if (const auto* wrong = std::get_if<field_error>(&in_file)) {
    return *wrong;
  }
  auto& file_values = std::get<raw_values>(in_file);
  po::variables_map given;
  values remaining_arguments;
  try {
    po::command_line_parser parser(arguments);
    // Abbreviated flags are not allowed: a subcommand's own flag could be a
    // prefix of a setting's flag and be parsed as that setting.
    parser.options(options).style(po::command_line_style::unix_style &
                                  ~po::command_line_style::allow_guessing);
    if (which == program::command) {
      parser.allow_unregistered();
    } else {
      parser.positional(po::positional_options_description());
    }
    const auto parsed = parser.run();
    remaining_arguments =
        po::collect_unrecognized(parsed.options, po::include_positional);
    po::store(parsed, given);
  } catch (const po::error& error) {
    return field_error{"flags", error.what(), "the flags of --help",
                       "see --help"};
  }
  raw_values raw;
  for (const auto& setting : setting_table()) {
    if (!is_used_by(setting, which)) {
      continue;
    }
    const std::string name(setting.name);
    if (given.count(name) > 0) {
      raw.add(name, given[name].as<values>());
    } else if (const char* value = variables(environment_name(name).c_str())) {
      raw.add(name, setting.repeatable ? split(value) : values{value});
    } else if (!file_values.all(name).empty()) {
      raw.add(name, file_values.all(name));
    } else if (!setting.default_value.empty()) {
      raw.add(name, {std::string(setting.default_value)});
    }
    if (raw.all(name).size() > 1 && !setting.repeatable) {
      return field_error{"--" + name, raw.all(name).back(), "one value",
                         "give it once"};
    }
    if (given.count("help") == 0) {
      if (auto wrong = detail::check_setting(setting, raw.all(name),
                                             which != program::command)) {
        return *wrong;
      }
    }
  }
  if (given.count("help") > 0) {
    settings result;
    result.help = true;
    result.remaining_arguments = std::move(remaining_arguments);
    return result;
  }
  if (which == program::forwarder) {
    settings result;
    result.forwarder = to_forwarder_options(raw);
    return result;
  }
  auto result = to_settings(raw);
  if (auto* checked = std::get_if<settings>(&result)) {
    checked->remaining_arguments = std::move(remaining_arguments);
  }
  return result;
}

std::string settings_help(program which) {
  std::ostringstream text;
  text << options_of(which);
  return text.str();
}

}  // namespace rosemarydrum
