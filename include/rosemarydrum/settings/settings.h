#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemarydrum/field_error.h"
#include "rosemarydrum/settings/forwarder_options.h"
#include "rosemarydrum/types.h"

/// The settings of the programs: flags, then environment variables, then the
/// settings file.
namespace rosemarydrum {

/// The programs that a setting is for.
enum class program : std::uint8_t {
  balancer,
  command,
  /// Balancer and command.
  both,
  forwarder,
};

enum class setting_type : std::uint8_t {
  number,
  /// Up to three decimal places; its bounds are in thousandths.
  decimal,
  text,
  /// One of a list of words.
  choice,
  /// Numeric IPv4 address and port.
  address,
  /// Balancer number and address: id@host:port.
  peer,
};

enum class output_format : std::uint8_t { table, json };

/// A balancer that is asked for the configuration before one is known.
struct peer_address {
  balancer_id id{};
  endpoint address;

  friend bool operator==(const peer_address&, const peer_address&) = default;
};

/// The checked values. A program uses those that the table gives it.
struct settings {
  bool help = false;
  balancer_id id{};
  data_centre_id data_centre{};
  endpoint listen;
  endpoint rpc_listen;
  endpoint metrics_listen;
  /// Always set in the balancer.
  std::optional<endpoint> store;
  std::vector<endpoint> fabric;
  std::string token_secret;
  std::vector<peer_address> peers;
  std::string log_level;
  output_format output = output_format::table;
  milliseconds timeout{};
  std::string operator_name;
  forwarder_options forwarder;
  /// Words and flags that are not settings; only in the command.
  std::vector<std::string> rest;
};

/// A row of the table of settings.
struct setting_description {
  /// Flag without its dashes.
  std::string_view name;
  program used_by;
  setting_type type;
  std::string_view unit;
  /// Bounds of a number, of a text's length, or of an address's port.
  std::uint64_t minimum;
  std::uint64_t maximum;
  /// The words of a choice, separated by "|".
  std::string_view choices;
  /// Empty: none, or derived as the text says.
  std::string_view default_value;
  /// Balancer and forwarder do not start without it.
  bool required;
  /// May be given several times; separated by commas in the environment.
  bool repeatable;
  std::string_view text;
};

std::span<const setting_description> setting_table();

/// "token-secret" becomes "ROSEMARYDRUM_TOKEN_SECRET".
std::string environment_name(std::string_view setting);

/// The allowed values in words.
std::string allowed_values(const setting_description& setting);

/// Looks up an environment variable; nullptr if it is not set.
using environment = std::function<const char*(const char*)>;

/// Reads and checks the settings of `which` from `arguments` (without the
/// program's name), then from the environment, then from the text of a settings
/// file: lines "setting = value", without a value as if they were not there.
/// The first wrong value is returned; its kind is error_kind::bad_settings.
std::variant<settings, field_error> load_settings(
    program which, const std::vector<std::string>& arguments,
    const environment& variables, const std::string& file_text = {});

/// Checks a settings file of which values are placeholders "{{...}}", to be
/// filled in later: its settings, the other values, and that all required
/// settings are there. Nullopt if nothing is wrong.
std::optional<field_error> check_settings_template(program which,
                                                   const std::string& text);

/// The list of flags for --help.
std::string settings_help(program which);

}  // namespace rosemarydrum
