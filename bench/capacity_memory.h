#pragma once

#include <cstddef>

namespace rosemarydrum::bench {

/// Returns the bytes currently allocated with `operator new`, without the
/// allocator's own overhead.
std::size_t allocated_bytes();

}  // namespace rosemarydrum::bench
