#pragma once

#include <memory>
#include <string>
#include <vector>

#include "checker.h"
#include "world.h"

namespace rosemarydrum::scenario {

/// A line `expect <measure> <comparison> <number>` and the measured value.
struct expectation {
  std::string line;
  double measured = 0;
  bool met = false;
};

/// Runs a scenario in the language of test/scenarios/README.md with the
/// mechanisms in `without` disabled. Throws std::runtime_error, which quotes
/// the line, on most syntax errors.
std::vector<expectation> run_script(const std::string& text, std::uint64_t seed,
                                    const std::vector<std::string>& without,
                                    checker& checks);

}  // namespace rosemarydrum::scenario
