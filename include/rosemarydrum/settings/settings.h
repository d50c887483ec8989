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

/// The settings of the programs, from flags, environment variables and the
/// settings file, in this order of precedence.
namespace rosemarydrum {

/// The programs that a setting applies to.
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

/// A balancer from which the configuration is requested before any is known.
struct peer_address {
  balancer_id id{};
  endpoint address;

  friend bool operator==(const peer_address&, const peer_address&) = default;
};

/// The checked values. A program uses those that the settings table assigns to
/// it.
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
  /// Arguments that are not settings; only for the command.
  std::vector<std::string> remaining_arguments;
};

/// An entry of the settings table.
struct setting_description {
  /// Flag without leading dashes.
  std::string_view name;
  program used_by;
  setting_type type;
  std::string_view unit;
  /// Range of a number, of a text's length, or of an address's port.
  std::uint64_t minimum;
  std::uint64_t maximum;
  /// The words of a choice, separated by "|".
  std::string_view choices;
  /// Empty: none, or derived as described in `text`.
  std::string_view default_value;
  /// Balancer and forwarder do not start without a value.
  bool required;
  /// May be given several times; separated by commas in the environment.
  bool repeatable;
  std::string_view text;
};

std::span<const setting_description> setting_table();

/// "token-secret" becomes "ROSEMARYDRUM_TOKEN_SECRET".
std::string environment_name(std::string_view setting);

/// Returns a description of the allowed values.
std::string allowed_values(const setting_description& setting);

/// Looks up an environment variable; nullptr if it is not set.
using environment = std::function<const char*(const char*)>;

/// Reads and checks the settings of `which` from `arguments` (without the
/// program's name), then from the environment, then from the text of a settings
/// file: lines "setting = value". Lines without a value are ignored. Returns
/// the first invalid value as an error of kind error_kind::bad_settings.
std::variant<settings, field_error> load_settings(
    program which, const std::vector<std::string>& arguments,
    const environment& variables, const std::string& file_text = {});

/// Checks a settings file in which values may be placeholders "{{...}}": the
/// names of the settings, the other values, and that all required settings are
/// present. Returns nullopt if it is valid.
std::optional<field_error> check_settings_template(program which,
                                                   const std::string& text);

/// Returns the list of flags for --help.
std::string settings_help(program which);

}  // namespace rosemarydrum
