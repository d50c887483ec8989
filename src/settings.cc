#include "rosemarydrum/settings.h"

#include <boost/program_options.hpp>
#include <map>
#include <sstream>

#include "rosemarydrum/address_text.h"
#include "rosemarydrum/number_text.h"
#include "settings_check.h"

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;
using values = std::vector<std::string>;

bool is_used_by(const setting_description& setting, program which) {
  return setting.used_by == which || setting.used_by == program::both;
}

values split(const std::string& list) {
  values parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

po::options_description options_of(program which) {
  po::options_description options("Settings");
  auto add = options.add_options();
  add("help,h", "Print this help.");
  for (const auto& setting : setting_table()) {
    if (is_used_by(setting, which)) {
      std::string text(setting.text);
      text += " Allowed: " + allowed_values(setting) + ".";
      if (!setting.default_value.empty()) {
        text += " Default: " + std::string(setting.default_value) + ".";
      }
      text += " Environment: " + environment_name(setting.name) + ".";
      add(std::string(setting.name).c_str(), po::value<values>(), text.c_str());
    }
  }
  return options;
}

/// The values by name, unchecked.
class raw_values {
 public:
  void add(const std::string& name, const values& given) {
    auto& all = by_name_[name];
    all.insert(all.end(), given.begin(), given.end());
  }
  const values& all(const std::string& name) { return by_name_[name]; }
  /// The first value of a checked setting; empty if it has none.
  std::string first(const std::string& name) {
    const auto& given = by_name_[name];
    return given.empty() ? std::string{} : given.front();
  }
  template <typename Number>
  Number number(const std::string& name) {
    return static_cast<Number>(parse_number(first(name)).value_or(0));
  }
  endpoint address(const std::string& name) {
    return parse_endpoint(first(name), 0).value_or(endpoint{});
  }

 private:
  std::map<std::string, values> by_name_;
};

/// The address `offset` ports above the data port; port 0 stays 0.
std::variant<endpoint, field_error> derived(raw_values& raw,
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

std::variant<settings, field_error> convert(raw_values& raw) {
  settings result;
  result.id = raw.number<balancer_id>("id");
  result.data_centre = raw.number<data_centre_id>("data-centre");
  result.listen = raw.address("listen");
  auto rpc = derived(raw, "rpc-listen", 1);
  auto metrics = derived(raw, "metrics-listen", 2);
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
    const environment& variables) {
  const auto options = options_of(which);
  po::variables_map given;
  values rest;
  try {
    po::command_line_parser parser(arguments);
    // A prefix of a flag would be taken for a setting although a subcommand
    // means its own flag.
    parser.options(options).style(po::command_line_style::unix_style &
                                  ~po::command_line_style::allow_guessing);
    if (which == program::command) {
      parser.allow_unregistered();
    } else {
      parser.positional(po::positional_options_description());
    }
    const auto parsed = parser.run();
    rest = po::collect_unrecognized(parsed.options, po::include_positional);
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
    } else if (!setting.default_value.empty()) {
      raw.add(name, {std::string(setting.default_value)});
    }
    if (raw.all(name).size() > 1 && !setting.repeatable) {
      return field_error{"--" + name, raw.all(name).back(), "one value",
                         "give it once"};
    }
    if (given.count("help") == 0) {
      if (auto wrong = detail::check_setting(setting, raw.all(name),
                                             which == program::balancer)) {
        return *wrong;
      }
    }
  }
  if (given.count("help") > 0) {
    settings result;
    result.help = true;
    result.rest = std::move(rest);
    return result;
  }
  auto result = convert(raw);
  if (auto* checked = std::get_if<settings>(&result)) {
    checked->rest = std::move(rest);
  }
  return result;
}

std::string settings_help(program which) {
  std::ostringstream text;
  text << options_of(which);
  return text.str();
}

}  // namespace rosemarydrum
