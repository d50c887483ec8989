#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "command/subcommand.h"

namespace rosemarydrum {

/// Runs the subcommand that the words of `context.options.remaining_arguments`
/// name, prints its answer to `out` and an error to `err`, and returns the exit
/// code.
int run_command(command_context& context, std::ostream& out, std::ostream& err);

/// The list of subcommands, or the help of the one that `words` begin with.
std::string command_help(const std::vector<std::string>& words);

}  // namespace rosemarydrum
