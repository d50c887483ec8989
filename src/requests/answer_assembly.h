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
  /// Whether `part` is well-formed, not yet received, and names the same run
  /// of the upstream and the same number of parts as those before it.
  bool accepts(const packet& part) const;
  /// Adds a part. `accepts(part)` must be true.
  void add(const packet& part);

  bool empty() const { return received_ == 0; }
  bool complete() const { return received_ > 0 && received_ == parts_.size(); }
  std::size_t size_bytes() const { return size_bytes_; }
  std::uint16_t part_count() const {
    return static_cast<std::uint16_t>(parts_.size());
  }
  /// Run of the answering upstream; 0 before the first part.
  incarnation run() const { return run_; }

  /// Indexes of the first `limit` missing parts; empty before the first part.
  std::vector<std::uint16_t> missing(std::size_t limit) const;
  /// Moves the payloads out. The answer must be complete.
  std::vector<bytes> take();

 private:
  std::vector<std::optional<bytes>> parts_;
  std::size_t received_ = 0;
  std::size_t size_bytes_ = 0;
  incarnation run_{};
};

}  // namespace rosemarydrum::detail
