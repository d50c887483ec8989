#pragma once

#include <cstdint>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Number of an upstream in the store. It is never reused for another upstream,
/// but kept when the upstream restarts in place.
enum class upstream_key : std::uint64_t {};

/// Upstreams write their records at least this often. A record may be out of
/// date for this long after its upstream has become cold.
inline constexpr milliseconds max_entry_age{2000};

/// The record that an upstream publishes in the store.
struct upstream_record {
  upstream_key key{};
  std::string service;
  std::string data_centre;
  endpoint address;
  /// Number of requests that it can run concurrently.
  std::uint16_t slots = 1;
  /// It accepts no new flows and will stop soon.
  bool draining = false;
  /// Time for which it stays cold after the record was read.
  milliseconds cold_left{0};
  /// Changes with each start; 0 if not known.
  incarnation run{};

  friend bool operator==(const upstream_record&,
                         const upstream_record&) = default;
};

}  // namespace rosemarydrum
