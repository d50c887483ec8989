#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Collects the parts of one attempt's answer, each of them once.
class answer_assembly {
 public:
  /// Whether `part` is accepted: a part not yet held, of the same run of the
  /// upstream and the same number of parts as those before it.
  bool accepts(const packet& part) const;
  /// Adds a part that `accepts` has passed.
  void add(const packet& part);

  bool empty() const { return held_ == 0; }
  bool complete() const { return held_ > 0 && held_ == parts_.size(); }
  std::size_t size_bytes() const { return size_bytes_; }
  std::uint16_t part_count() const {
    return static_cast<std::uint16_t>(parts_.size());
  }
  /// The run of the upstream that has answered; 0 before the first part.
  incarnation run() const { return run_; }

  /// The first `limit` parts that are not held.
  std::vector<std::uint16_t> missing(std::size_t limit) const;
  /// Moves the payloads out; only when complete.
  std::vector<bytes> take();

 private:
  std::vector<std::optional<bytes>> parts_;
  std::size_t held_ = 0;
  std::size_t size_bytes_ = 0;
  incarnation run_{};
};

}  // namespace rosemarydrum::detail
