#pragma once

#include <string>
#include <vector>

#include "command/log_reader.h"

namespace rosemarydrum {

/// An event and whether it is known to come after its predecessor.
struct explained_event {
  logged_event event;
  bool order_certain = true;
};

/// The events of one request from the logs of all processes.
struct explanation {
  /// Ordered by logical time.
  std::vector<explained_event> events;
  /// The decisions on the request and their causes, one sentence each.
  std::vector<std::string> findings;
  /// Gaps in the explanation because lines or logs are missing.
  std::vector<std::string> missing;
};

/// Explains the request with this id, or the flow "address:port>address:port".
/// Includes the events of its flows, of the upstreams and processes that they
/// name, and of the versions that they depend on.
explanation explain(const std::vector<logged_event>& log,
                    const std::string& id);

}  // namespace rosemarydrum
