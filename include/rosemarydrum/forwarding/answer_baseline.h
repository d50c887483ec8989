#pragma once

#include <cstdint>

namespace rosemarydrum {

/// What the answers of one route usually measure. The answer of an upstream
/// that fails a request is far shorter.
class answer_baseline {
 public:
  void add(std::uint32_t answer_bytes);
  /// Whether an answer is far shorter than most; false while too few are known.
  bool is_short(std::uint32_t answer_bytes) const;

  /// A quarter of the answers are shorter, about; in bytes.
  double quartile() const { return quartile_; }

 private:
  double quartile_ = 0;
  std::uint32_t samples_ = 0;
};

}  // namespace rosemarydrum
