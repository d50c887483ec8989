#pragma once

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace rosemarydrum::standins {

/// Parses the flags into the variables that `options` names. Ends the program
/// if a flag is invalid.
inline void read_flags(
    int count, char** words,
    const boost::program_options::options_description& options) {
  namespace po = boost::program_options;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(count, words, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
    std::exit(2);
  }
}

}  // namespace rosemarydrum::standins
