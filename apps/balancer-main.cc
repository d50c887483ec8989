#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "daemon/daemon.h"
#include "daemon/log_setup.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {
namespace {

int run(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto loaded =
      load_settings(program::balancer, arguments,
                    [](const char* name) { return std::getenv(name); });
  if (const auto* invalid = std::get_if<field_error>(&loaded)) {
    std::cerr << to_line(*invalid) << '\n';
    return description_of(error_kind::bad_settings).exit_code;
  }
  const auto& options = std::get<settings>(loaded);
  if (options.help) {
    std::cout << settings_help(program::balancer);
    return 0;
  }
  set_up_log(argv[0], options.log_level);
  try {
    run_daemon(options);
  } catch (const std::exception& error) {
    LOG(ERROR) << "cannot run the balancer: " << error.what();
    return description_of(error_kind::bad_settings).exit_code;
  }
  return 0;
}

}  // namespace
}  // namespace rosemarydrum

int main(int argc, char** argv) { return rosemarydrum::run(argc, argv); }
