#pragma once

#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A forwarder as it announces itself to the others.
struct member_record {
  /// Name of its instance; unique.
  std::string name;
  std::string data_centre;
  /// Where it takes messages of other forwarders.
  endpoint address;
  /// Chosen at its start.
  incarnation run{};

  friend bool operator==(const member_record&, const member_record&) = default;
};

}  // namespace rosemarydrum
