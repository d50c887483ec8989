#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "command/fleet_client.h"
#include "command/report.h"
#include "command/result.h"
#include "command/store_access.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {

/// Dependencies of subcommands, all of which tests can replace.
struct command_context {
  settings options;
  store_access& store;
  fleet_client& fleet;
  std::istream& input;
  std::function<unix_ms()> wall_clock;
  std::function<void(milliseconds)> sleep;
  /// Random bits for operation ids.
  std::function<std::uint64_t()> random;
};

/// The positional arguments and flags of a subcommand.
struct subcommand_arguments {
  std::vector<std::string> words;
  boost::program_options::variables_map flags;
};

/// The settings that a subcommand requires.
enum class command_need : std::uint8_t {
  nothing,
  store,
  store_or_peers,
  store_and_operator,
};

/// An entry of the subcommand table.
struct subcommand {
  /// One or two words.
  std::string_view name;
  /// Names of the positional arguments, separated by blanks.
  std::string_view words;
  std::string_view text;
  /// Example lines without the program's name.
  std::string_view examples;
  command_need needs;
  void (*add_flags)(boost::program_options::options_description& flags);
  result<report> (*run)(command_context& context,
                        const subcommand_arguments& arguments);
};

std::span<const subcommand> subcommand_table();

}  // namespace rosemarydrum
