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

int run(int count, char** words) {
  const std::vector<std::string> arguments(words + 1, words + count);
  const auto loaded =
      load_settings(program::balancer, arguments,
                    [](const char* name) { return std::getenv(name); });
  if (const auto* wrong = std::get_if<field_error>(&loaded)) {
    std::cerr << to_line(*wrong) << '\n';
    return description_of(error_kind::bad_settings).exit_code;
  }
  const auto& checked = std::get<settings>(loaded);
  if (checked.help) {
    std::cout << settings_help(program::balancer);
    return 0;
  }
  set_up_log(words[0], checked.log_level);
  try {
    run_daemon(checked);
  } catch (const std::exception& error) {
    LOG(ERROR) << "cannot run: " << error.what();
    return description_of(error_kind::bad_settings).exit_code;
  }
  return 0;
}

}  // namespace
}  // namespace rosemarydrum

int main(int count, char** words) { return rosemarydrum::run(count, words); }
