#include "capacity_memory.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> live_bytes{0};

// Bytes before each block that hold its size. A multiple of the maximum
// alignment keeps the block aligned.
constexpr std::size_t prefix = alignof(std::max_align_t);

}  // namespace

void* operator new(std::size_t size) {
  auto* block = static_cast<unsigned char*>(std::malloc(size + prefix));
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *reinterpret_cast<std::size_t*>(block) = size;
  live_bytes += size;
  return block + prefix;
}

void operator delete(void* pointer) noexcept {
  if (pointer == nullptr) {
    return;
  }
  auto* block = static_cast<unsigned char*>(pointer) - prefix;
  live_bytes -= *reinterpret_cast<std::size_t*>(block);
  std::free(block);
}

void operator delete(void* pointer, std::size_t /*size*/) noexcept {
  operator delete(pointer);
}

namespace rosemarydrum::bench {

std::size_t allocated_bytes() { return live_bytes; }

}  // namespace rosemarydrum::bench
