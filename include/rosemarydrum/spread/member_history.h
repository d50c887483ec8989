#pragma once

#include <vector>

#include "rosemarydrum/forwarding/flow_record.h"
#include "rosemarydrum/forwarding/upstream_sighting.h"

namespace rosemarydrum {

/// What a member has seen and the store does not tell, for a process that
/// starts.
struct member_history {
  std::vector<flow_record> flows;
  /// For how long the sender has known all removals.
  milliseconds covered{0};
  /// Unanswered handshakes of the last seconds, of any member.
  std::vector<upstream_sighting> sightings{};

  friend bool operator==(const member_history&,
                         const member_history&) = default;
};

}  // namespace rosemarydrum
