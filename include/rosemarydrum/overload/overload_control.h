#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/decaying_count.h"
#include "rosemarydrum/overload/rejection_window.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The new flows of a service's routes of one priority are limited from now on,
/// or no longer.
struct limit_change {
  std::string service;
  std::uint8_t priority = 0;
  bool limited = false;
  /// Share of the service's recent requests that were rejected, from 0 to 1.
  double rejected_share = 0;
};

/// Limits the new flows of a service's less urgent routes while many of its
/// upstreams reject requests, so that retries of these routes do not take the
/// room of the urgent ones. The share of admitted flows falls while the
/// overload lasts and rises again after it, one priority after the other.
/// The most urgent priority with traffic is never limited.
class overload_control {
 public:
  /// A request of a route has been answered, or rejected, by an upstream.
  void on_answer(const std::string& service, std::uint8_t priority,
                 upstream_index upstream, bool rejected, time_point now);
  /// Whether a new flow of a route of this priority is admitted.
  bool admits(const std::string& service, std::uint8_t priority,
              time_point now);
  /// Adjusts the admitted shares, at most every 250 ms. Returns the priorities
  /// that are limited from now on, or no longer.
  std::vector<limit_change> adjust(time_point now);

  /// Share of the new flows of this priority that are admitted, from 0 to 1.
  double admitted_share(const std::string& service,
                        std::uint8_t priority) const;

 private:
  struct priority_class {
    std::uint8_t priority = 0;
    decaying_count answers{traffic_time_constant};
    double share = 1;
    /// Admitted flows that are due; grows by `share` with each new flow.
    double credit = 0;
  };
  struct service_state {
    rejection_window window;
    /// The most urgent first.
    std::map<std::uint8_t, priority_class> classes;
  };

  static constexpr seconds traffic_time_constant{2};

  static bool has_more_urgent(const service_state& service,
                              std::uint8_t priority, time_point now);
  static priority_class* to_decrease(service_state& service, time_point now);
  static priority_class* to_increase(service_state& service);

  std::map<std::string, service_state> services_;
  time_point next_adjustment_;
};

}  // namespace rosemarydrum
