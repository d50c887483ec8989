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

int report(const field_error& wrong) {
  std::cerr << to_line(wrong) << '\n';
  return bad_settings;
}

void print_help() {
  std::cout << "rosemarydrum-forwarder: sends the packets of callers' flows to "
               "upstreams.\n\n"
               "  --check [FILE]  check the settings, or those of FILE, which "
               "may have\n                  placeholders {{...}}, and end\n\n"
            << settings_help(program::forwarder);
}

int check_file(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return report({"--check", file, "a file that can be read", "name another"});
  }
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  if (const auto wrong = check_settings_template(program::forwarder, text)) {
    return report(*wrong);
  }
  std::cout << "the settings are valid\n";
  return 0;
}

/// Removes `word` and returns whether it was there.
bool take(std::vector<std::string>& arguments, std::string_view word) {
  return std::erase(arguments, word) > 0;
}

}  // namespace

int forwarder_main(int count, char** words,
                   const forwarder_platform& platform) {
  std::vector<std::string> arguments(words + 1, words + count);
  if (take(arguments, "--help") || take(arguments, "-h")) {
    print_help();
    return 0;
  }
  const bool only_check = take(arguments, "--check");
  if (only_check && arguments.size() == 1 && !arguments[0].starts_with("-")) {
    return check_file(arguments[0]);
  }
  settings_source source(
      std::move(arguments), [](const char* name) { return std::getenv(name); },
      platform.settings_file);
  auto loaded = source.load();
  if (const auto* wrong = std::get_if<field_error>(&loaded)) {
    return report(*wrong);
  }
  if (only_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  // A peer that closes a connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    forwarder_daemon daemon(platform, source,
                            std::get<forwarder_options>(std::move(loaded)));
    daemon.run();
  } catch (const boost::system::system_error& error) {
    std::cerr << "cannot run: " << error.what() << '\n';
    return bad_settings;
  }
  return 0;
}

}  // namespace rosemarydrum
