#include "daemon/log_setup.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace rosemarydrum {
namespace {

struct level_row {
  std::string_view name;
  int severity;
};

constexpr std::array<level_row, 3> levels{{
    {"info", google::GLOG_INFO},
    {"warning", google::GLOG_WARNING},
    {"error", google::GLOG_ERROR},
}};

}  // namespace

void set_up_log(const char* program_name, std::string_view level) {
  const auto* row =
      std::find_if(levels.begin(), levels.end(),
                   [level](const auto& each) { return each.name == level; });
  if (row != levels.end()) {
    FLAGS_minloglevel = row->severity;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program_name);
}

}  // namespace rosemarydrum
