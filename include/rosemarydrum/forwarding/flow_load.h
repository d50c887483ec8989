#pragma once

#include <cstdint>

namespace rosemarydrum {

/// How a flow counts towards the load of its upstream.
enum class flow_load : std::uint8_t {
  none,
  /// It is being opened, or a request is in progress.
  active,
  /// It is open without a request.
  idle,
};

}  // namespace rosemarydrum
