#pragma once

#include <array>
#include <cstdio>
#include <cstdlib>

#include "capacity_memory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::bench {

/// Numbers of flows, requests and records at which memory is measured.
inline constexpr std::array sizes{1'000, 10'000, 100'000, 1'000'000};

/// Exits with an error if a step failed, since its figure would be invalid.
inline void require(bool succeeded, const char* what) {
  if (!succeeded) {
    std::fprintf(stderr, "failed: %s\n", what);
    std::exit(EXIT_FAILURE);
  }
}

/// Returns the growth of `allocated_bytes()` since it returned `before`.
inline double allocated_since(std::size_t before) {
  return static_cast<double>(allocated_bytes() - before);
}

/// Returns the key of flow `number`, spread over 20 callers and 16 services.
inline flow_key flow(std::uint64_t number) {
  return {caller_id(static_cast<std::uint32_t>(1 + number % 20)),
          service_id(static_cast<std::uint32_t>(1 + number % 16)),
          flow_id(number * 0x9e3779b97f4a7c15ULL)};
}

}  // namespace rosemarydrum::bench
