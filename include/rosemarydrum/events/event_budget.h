#pragma once

#include <cstdint>
#include <optional>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Bounds the events of one kind to a number in each second and counts those
/// that are left out.
class event_budget {
 public:
  explicit event_budget(std::uint32_t per_second = 100)
      : per_second_(per_second) {}

  void set_limit(std::uint32_t per_second) { per_second_ = per_second; }

  /// The number left out since the last event that passed; nullopt if this one
  /// is to be left out, too.
  std::optional<std::uint32_t> take(time_point now);

 private:
  std::uint32_t per_second_;
  std::int64_t second_ = 0;
  std::uint32_t count_ = 0;
  std::uint32_t left_out_ = 0;
};

}  // namespace rosemarydrum
