#pragma once

#include <cstdint>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A forwarder as it announces itself to the others.
struct member_record {
  /// Name of its instance; unique, and kept across restarts.
  std::string name;
  std::string data_centre;
  /// Where it takes messages of other forwarders.
  endpoint address;
  /// Processor share in thousandths of a core; larger instances read the store
  /// for the others.
  std::uint32_t capacity = 0;

  friend bool operator==(const member_record&, const member_record&) = default;
};

}  // namespace rosemarydrum
