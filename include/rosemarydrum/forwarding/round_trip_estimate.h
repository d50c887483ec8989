#pragma once

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Smoothed round-trip time of handshakes and its variation (RFC 6298). It
/// includes the time for which packets wait at this machine's link.
class round_trip_estimate {
 public:
  void add(duration sample);
  /// Time within which a handshake is usually answered; 0 before the first
  /// sample.
  duration timeout() const;

 private:
  duration smoothed_{0};
  duration variation_{0};
};

}  // namespace rosemarydrum
