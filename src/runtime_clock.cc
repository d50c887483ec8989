#include "rosemarydrum/runtime_clock.h"

#include <atomic>
#include <ctime>

namespace rosemarydrum {
namespace {

constexpr duration::rep not_held = -1;
std::atomic<duration::rep> held_at{not_held};

// The standard's steady clock does not count the time of a suspension, during
// which leases run out and beliefs grow old.
duration::rep steady_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<duration>(
             seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec))
      .count();
}

// The offset is read once, so that a step of the wall clock does not make
// send-by times jump between two packets of one process.
duration::rep unix_offset() {
  static const auto offset =
      std::chrono::duration_cast<duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count() -
      steady_now();
  return offset;
}

}  // namespace

time_point runtime_clock::now() noexcept {
  const auto held = held_at.load(std::memory_order_acquire);
  return time_point(duration(held == not_held ? steady_now() : held));
}

bool runtime_clock::is_held() noexcept {
  return held_at.load(std::memory_order_acquire) != not_held;
}

unix_ms runtime_clock::to_unix(time_point at) noexcept {
  const auto since_epoch = at.time_since_epoch().count();
  const bool held = held_at.load(std::memory_order_acquire) != not_held;
  return static_cast<unix_ms>(
      (held ? since_epoch : since_epoch + unix_offset()) / 1000);
}

manual_time::manual_time(duration start) { held_at = start.count(); }

manual_time::~manual_time() { held_at = not_held; }

void manual_time::advance(duration step) { held_at += step.count(); }

}  // namespace rosemarydrum
