#pragma once

#include <string>
#include <vector>

#include "command/log_reader.h"

namespace rosemarydrum {

/// An event and whether it surely comes after the one before it.
struct explained_event {
  logged_event event;
  bool order_certain = true;
};

/// What the logs of all processes say of one request.
struct explanation {
  /// By logical time.
  std::vector<explained_event> events;
  /// What was decided on the request and why, in a sentence for each step.
  std::vector<std::string> findings;
  /// What the logs cannot say, because lines or logs are missing.
  std::vector<std::string> missing;
};

/// Finds the request with this id, or the flow "address:port>address:port".
/// Joins its lines with those of its flows, of the upstreams and processes that
/// they name, and of the versions that they rest on.
explanation explain(const std::vector<logged_event>& log,
                    const std::string& id);

}  // namespace rosemarydrum
