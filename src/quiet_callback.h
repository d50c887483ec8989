#pragma once

#include <kj/exception.h>

namespace rosemarydrum::detail {

/// Cap'n Proto logs some faults of malformed input to standard error; the
/// callers count them instead.
class quiet_callback : public kj::ExceptionCallback {
 public:
  void logMessage(kj::LogSeverity /*severity*/, const char* /*file*/,
                  int /*line*/, int /*context_depth*/,
                  kj::String&& /*text*/) override {}
};

}  // namespace rosemarydrum::detail
