#pragma once

#include <cstdint>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A forwarder, as it registers itself in the store.
struct member_record {
  /// Name of its instance, unique and stable across restarts.
  std::string name;
  std::string data_centre;
  /// Receives messages and connections of other forwarders.
  endpoint address;
  /// Processor share in thousandths of a core. The largest instance of a data
  /// centre reads the store for the others.
  std::uint32_t capacity = 0;

  friend bool operator==(const member_record&, const member_record&) = default;
};

}  // namespace rosemarydrum
