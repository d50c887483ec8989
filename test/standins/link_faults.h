#pragma once

#include <cstdint>
#include <random>

#include "rosemarydrum/types.h"

namespace rosemarydrum::standins {

/// Faults that a link applies to datagrams.
struct link_faults {
  /// Fraction of the datagrams that is lost, 0 to 1.
  double loss = 0;
  std::uint32_t delay_ms = 0;
  /// Drops every datagram.
  bool cut = false;

  /// Decides whether the next datagram is lost.
  bool loses(std::mt19937_64& random) const {
    return cut || std::uniform_real_distribution<>()(random) < loss;
  }
};

}  // namespace rosemarydrum::standins
