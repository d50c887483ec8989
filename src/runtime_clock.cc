#include "rosemarydrum/runtime_clock.h"

#include <atomic>
#include <ctime>

namespace rosemarydrum {
namespace {

constexpr duration::rep not_manual = -1;
std::atomic<duration::rep> manual_now{not_manual};

// std::chrono::steady_clock stops while the instance is suspended, but leases
// expire and observations become stale during that time, so this reads
// CLOCK_BOOTTIME.
duration::rep steady_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<duration>(
             seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec))
      .count();
}

// Read only once, so that a step of the wall clock does not make send-by times
// jump between two packets of the same process.
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
  const auto manual = manual_now.load(std::memory_order_acquire);
  return time_point(duration(manual == not_manual ? steady_now() : manual));
}

bool runtime_clock::is_manual() noexcept {
  return manual_now.load(std::memory_order_acquire) != not_manual;
}

unix_ms runtime_clock::to_unix(time_point at) noexcept {
  const auto since_epoch = at.time_since_epoch().count();
  const bool manual = manual_now.load(std::memory_order_acquire) != not_manual;
  return static_cast<unix_ms>(
      (manual ? since_epoch : since_epoch + unix_offset()) / 1000);
}

manual_time::manual_time(duration start) { manual_now = start.count(); }

manual_time::~manual_time() { manual_now = not_manual; }

void manual_time::advance(duration step) { manual_now += step.count(); }

}  // namespace rosemarydrum
