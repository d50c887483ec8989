#include "rosemarydrum/overload/rejection_window.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

constexpr milliseconds window{1500};
/// Rejections of fewer upstreams say nothing about the service.
constexpr std::size_t min_answering = 4;

}  // namespace

void rejection_window::add(upstream_index upstream, bool rejected,
                           time_point now) {
  auto& known = upstreams_[value_of(upstream)];
  known.answered_at = now;
  answers_.add(1, now);
  if (rejected) {
    known.rejected_at = now;
    rejections_.add(1, now);
  }
}

double rejection_window::rejected_requests(time_point now) const {
  const double answers = answers_.at(now);
  return answers < 1 || answering(now) == 0 ? 0 : rejections_.at(now) / answers;
}

std::size_t rejection_window::answering(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& each) {
        return now - each.second.answered_at <= window;
      }));
}

double rejection_window::rejecting_upstreams(time_point now) const {
  const auto answered = answering(now);
  if (answered < min_answering) {
    return 0;
  }
  const auto rejected = std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& each) {
        return now - each.second.rejected_at <= window;
      });
  return static_cast<double>(rejected) / static_cast<double>(answered);
}

}  // namespace rosemarydrum
