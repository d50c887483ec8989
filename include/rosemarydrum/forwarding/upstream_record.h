#pragma once

#include <cstdint>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// An upstream's number in the store's list; unique among all that ever ran,
/// but kept by one that starts again in place.
enum class upstream_key : std::uint64_t {};

/// What an upstream says of itself in the store.
struct upstream_record {
  upstream_key key{};
  std::string service;
  std::string data_centre;
  endpoint address;
  /// Requests that it runs at a time.
  std::uint16_t slots = 1;
  /// It takes no new flows and ends soon.
  bool draining = false;
  /// Time that it stays cold from when the record was read.
  milliseconds cold_left{0};
  /// Tells its starts apart; 0 if not known.
  incarnation run{};

  friend bool operator==(const upstream_record&,
                         const upstream_record&) = default;
};

}  // namespace rosemarydrum
