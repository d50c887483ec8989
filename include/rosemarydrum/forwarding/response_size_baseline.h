#pragma once

#include <cstdint>

namespace rosemarydrum {

/// Tracks the usual response size of one route, so that error responses can be
/// recognised: they are far shorter.
class response_size_baseline {
 public:
  void add(std::uint32_t response_bytes);
  /// Returns true if a response is far shorter than most responses of the
  /// route; false until enough responses have been added.
  bool is_short(std::uint32_t response_bytes) const;

  /// Estimate of the lower quartile of the response sizes, in bytes.
  double quartile() const { return quartile_; }

 private:
  double quartile_ = 0;
  std::uint32_t samples_ = 0;
  /// Short responses since the last one of usual size.
  std::uint32_t short_in_a_row_ = 0;
};

}  // namespace rosemarydrum
