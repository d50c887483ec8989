#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "command/subcommand.h"

namespace rosemarydrum {

/// Runs the subcommand named by `context.options.remaining_arguments`, prints
/// its report to `out` or an error to `err`, and returns the exit code.
int run_command(command_context& context, std::ostream& out, std::ostream& err);

/// Returns the list of subcommands, or the help of the one named by the first
/// words.
std::string command_help(const std::vector<std::string>& words);

}  // namespace rosemarydrum
