#include "forwarder/forwarder_main.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "forwarder/forwarder_daemon.h"
#include "forwarder/settings_source.h"
#include "rosemarydrum/error_kind.h"

namespace rosemarydrum {
namespace {

constexpr int bad_settings = description_of(error_kind::bad_settings).exit_code;

int report(const field_error& problem) {
  std::cerr << to_line(problem) << '\n';
  return bad_settings;
}

void print_help() {
  std::cout
      << "rosemarydrum-forwarder: forwards the packets of callers' flows to "
         "upstreams.\n\n"
         "  --check [FILE]  validate the settings, or the settings file FILE,\n"
         "                  which may contain placeholders {{...}}, and "
         "exit\n\n"
      << settings_help(program::forwarder);
}

int check_file(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return report({"--check", file, "a readable file", "name another file"});
  }
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  if (const auto problem = check_settings_template(program::forwarder, text)) {
    return report(*problem);
  }
  std::cout << "the settings are valid\n";
  return 0;
}

/// Removes `flag` from the arguments and returns whether it was present.
bool take_flag(std::vector<std::string>& arguments, std::string_view flag) {
  return std::erase(arguments, flag) > 0;
}

}  // namespace

int forwarder_main(int count, char** words,
                   const forwarder_platform& platform) {
  std::vector<std::string> arguments(words + 1, words + count);
  if (take_flag(arguments, "--help") || take_flag(arguments, "-h")) {
    print_help();
    return 0;
  }
  const bool only_check = take_flag(arguments, "--check");
  if (only_check && arguments.size() == 1 && !arguments[0].starts_with("-")) {
    return check_file(arguments[0]);
  }
  settings_source source(
      std::move(arguments), [](const char* name) { return std::getenv(name); },
      platform.settings_file);
  auto loaded = source.load();
  if (const auto* problem = std::get_if<field_error>(&loaded)) {
    return report(*problem);
  }
  if (only_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  // Without this, a write to a connection that the peer has closed would
  // terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    forwarder_daemon daemon(platform, source,
                            std::get<forwarder_options>(std::move(loaded)));
    daemon.run();
  } catch (const boost::system::system_error& error) {
    std::cerr << "cannot run the forwarder: " << error.what() << '\n';
    return bad_settings;
  }
  return 0;
}

}  // namespace rosemarydrum
