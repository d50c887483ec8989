#include "rosemarydrum/forwarding/delivery_record.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds interval_length{10};

std::int64_t number_of(time_point time) {
  return time.time_since_epoch() / duration(interval_length);
}

}  // namespace

void delivery_record::on_delivered(time_point sent) {
  const auto number = number_of(sent);
  intervals_[static_cast<std::size_t>(number) % interval_count] = number;
}

bool delivery_record::has_delivered_after(time_point sent) const {
  const auto first = number_of(sent) + 1;
  const auto last = number_of(sent + delivery_window);
  for (auto number = first; number <= last; ++number) {
    if (intervals_[static_cast<std::size_t>(number) % interval_count] ==
        number) {
      return true;
    }
  }
  return false;
}

}  // namespace rosemarydrum
