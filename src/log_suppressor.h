#pragma once

#include <kj/exception.h>

namespace rosemarydrum::detail {

/// Suppresses the log lines that Cap'n Proto writes to standard error for some
/// malformed input; callers count such input instead.
class log_suppressor : public kj::ExceptionCallback {
 public:
  void logMessage(kj::LogSeverity /*severity*/, const char* /*file*/,
                  int /*line*/, int /*context_depth*/,
                  kj::String&& /*text*/) override {}
};

}  // namespace rosemarydrum::detail
