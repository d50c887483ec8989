#include "rosemarydrum/forwarding/loss_estimate.h"

#include <algorithm>
#include <cmath>

namespace rosemarydrum {
namespace {

constexpr milliseconds interval_length{500};
/// Added to the requests of an interval, so that a lost packet among few
/// requests is not taken for heavy loss.
constexpr double prior_requests = 20;
/// Losses of an interval that do not count.
constexpr std::uint32_t ignored_losses = 1;
/// Packets and their acknowledgements are lost at times on any network.
constexpr double min_share = 1e-3;
constexpr double max_share = 0.9;
/// Accepted probability of taking a live upstream for dead.
constexpr double error_probability = 1e-9;

std::int64_t number_of(time_point now) {
  return now.time_since_epoch() / duration(interval_length);
}

}  // namespace

void loss_estimate::on_request(time_point now) { ++interval_at(now).requests; }

void loss_estimate::on_loss(std::size_t requests, time_point now) {
  interval_at(now).lost += static_cast<std::uint32_t>(requests);
}

double loss_estimate::share(time_point now) const {
  const auto oldest =
      number_of(now) - static_cast<std::int64_t>(interval_count) + 1;
  double worst = 0;
  for (const auto& each : intervals_) {
    if (each.number >= oldest && each.lost > ignored_losses) {
      worst = std::max(worst, (each.lost - ignored_losses) /
                                  (each.requests + prior_requests));
    }
  }
  return std::min(worst, 1.0);
}

std::size_t loss_estimate::losses_of_dead_upstream(time_point now) const {
  const double worst = std::clamp(share(now), min_share, max_share);
  const double losses = std::log(error_probability) / std::log(worst);
  return std::max(min_losses_of_dead_upstream,
                  static_cast<std::size_t>(std::ceil(losses)));
}

loss_estimate::interval& loss_estimate::interval_at(time_point now) {
  const auto number = number_of(now);
  auto& found =
      intervals_[static_cast<std::size_t>(number) % intervals_.size()];
  if (found.number != number) {
    found = {number, 0, 0};
  }
  return found;
}

}  // namespace rosemarydrum
