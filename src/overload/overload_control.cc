#include "rosemarydrum/overload/overload_control.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

constexpr milliseconds adjustment_interval{250};
/// A service is overloaded while this share of its upstreams rejects requests,
/// and has rejected this share of the requests.
constexpr double overloaded_upstreams = 0.35;
constexpr double overloaded_requests = 0.15;
/// It has room again while it rejects a smaller share of the requests.
constexpr double relaxed_requests = 0.10;
/// Increase of an admitted share in one interval, and its decrease for each
/// rejected share of requests in excess of `overloaded_requests`.
constexpr double increase_step = 0.1;
constexpr double decrease_gain = 1;
/// A less urgent class is never refused as a whole.
constexpr double min_share = 0.1;
/// Flows of a priority with fewer answers lately are not limited: they do not
/// cause the overload.
constexpr double min_answers = 10;

}  // namespace

bool overload_control::has_more_urgent(const service_state& service,
                                       std::uint8_t priority, time_point now) {
  return std::any_of(service.classes.begin(),
                     service.classes.lower_bound(priority),
                     [now](const auto& each) {
                       return each.second.answers.at(now) >= min_answers;
                     });
}

void overload_control::on_answer(const std::string& service,
                                 std::uint8_t priority, upstream_index upstream,
                                 bool rejected, time_point now) {
  auto& state = services_[service];
  state.window.add(upstream, rejected, now);
  auto& known = state.classes[priority];
  known.priority = priority;
  known.answers.add(1, now);
}

bool overload_control::admits(const std::string& service, std::uint8_t priority,
                              time_point now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return true;
  }
  const auto known = found->second.classes.find(priority);
  if (known == found->second.classes.end() ||
      known->second.answers.at(now) < min_answers) {
    return true;
  }
  if (!has_more_urgent(found->second, priority, now)) {
    return true;
  }
  auto& limited = known->second;
  limited.credit += limited.share;
  if (limited.credit < 1) {
    return false;
  }
  limited.credit -= 1;
  return true;
}

std::vector<limit_change> overload_control::adjust(time_point now) {
  std::vector<limit_change> changes;
  if (now < next_adjustment_) {
    return changes;
  }
  next_adjustment_ = now + adjustment_interval;
  for (auto& [name, service] : services_) {
    const double rejected = service.window.rejected_requests(now);
    const bool is_overloaded =
        rejected > overloaded_requests &&
        service.window.rejecting_upstreams(now) > overloaded_upstreams;
    auto* changed = is_overloaded                 ? to_decrease(service, now)
                    : rejected < relaxed_requests ? to_increase(service)
                                                  : nullptr;
    if (changed == nullptr) {
      continue;
    }
    const bool was_limited = changed->share < 1;
    const double step = is_overloaded
                            ? (overloaded_requests - rejected) * decrease_gain
                            : increase_step;
    changed->share = std::clamp(changed->share + step, min_share, 1.0);
    if (const bool limited = changed->share < 1; limited != was_limited) {
      changes.push_back({name, changed->priority, limited, rejected});
    }
  }
  return changes;
}

// The least urgent class that is still admitted, but not the most urgent one
// with traffic.
overload_control::priority_class* overload_control::to_decrease(
    service_state& service, time_point now) {
  priority_class* found = nullptr;
  bool is_most_urgent = true;
  for (auto& [priority, each] : service.classes) {
    if (each.answers.at(now) < min_answers) {
      continue;
    }
    if (!is_most_urgent && each.share > min_share) {
      found = &each;
    }
    is_most_urgent = false;
  }
  return found;
}

// The most urgent class that is limited.
overload_control::priority_class* overload_control::to_increase(
    service_state& service) {
  for (auto& [priority, each] : service.classes) {
    if (each.share < 1) {
      return &each;
    }
  }
  return nullptr;
}

double overload_control::admitted_share(const std::string& service,
                                        std::uint8_t priority) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 1;
  }
  const auto known = found->second.classes.find(priority);
  return known == found->second.classes.end() ? 1 : known->second.share;
}

}  // namespace rosemarydrum
