#include <string>

#include "assignments.h"

/// Compares methods of choosing upstreams. Prints a line for each figure.
namespace rosemarydrum::bench {
namespace {

// Targets of the design, section 9; the wait is a quarter of the mean service
// time.
constexpr double target_median = 1.08;
constexpr double target_p99 = 1.15;
constexpr double target_wait_ms = 5;
constexpr double target_refused = 0;
constexpr double target_cold_load = 1.0;
// Follows from target_cold_load: a cold upstream that stays within its limit
// has no requests above it.
constexpr double target_cold_excess = 0;

void measure(const std::string& name, const model_settings& settings,
             assignment& chosen) {
  queueing_model model(settings, cold_cause::never);
  const model_figures figures = model.run(chosen);
  const std::string suffix = "_" + std::to_string(settings.slots) + "_slots";
  print_figure(name + "_imbalance_median" + suffix, figures.imbalance_median,
               "ratio", target_median);
  print_figure(name + "_imbalance_p99" + suffix, figures.imbalance_p99, "ratio",
               target_p99);
  print_figure(name + "_wait_p99" + suffix, figures.wait_p99_ms, "ms",
               target_wait_ms);
  print_figure(name + "_refused" + suffix,
               static_cast<double>(figures.refused) /
                   static_cast<double>(figures.finished + figures.refused),
               "ratio", target_refused);
}

void measure_cold(const std::string& name, const model_settings& settings,
                  cold_cause cause, bool ramp) {
  queueing_model model(settings, cause);
  const auto chosen = assign_by_decider(settings, ramp);
  const model_figures figures = model.run(*chosen);
  const std::string suffix = "_" + std::to_string(settings.slots) + "_slots";
  print_figure(name + "_cold_load" + suffix, figures.cold_load, "ratio",
               target_cold_load);
  print_figure(name + "_cold_excess" + suffix, figures.cold_excess, "requests",
               target_cold_excess);
}

void compare(int slots) {
  model_settings settings;
  settings.slots = slots;
  measure("hash", settings, *assign_by_hash());
  measure("random", settings, *assign_at_random());
  measure("two_choices_100ms", settings,
          *assign_by_two_choices(milliseconds(100)));
  measure("two_choices_1s", settings, *assign_by_two_choices(seconds(1)));
  measure("shares", settings, *assign_by_shares(settings));
  measure("decider", settings, *assign_by_decider(settings, true));
  measure_cold("no_ramp_restart", settings, cold_cause::restart, false);
  measure_cold("decider_restart", settings, cold_cause::restart, true);
  measure_cold("no_ramp_unannounced", settings, cold_cause::unannounced, false);
  measure_cold("decider_unannounced", settings, cold_cause::unannounced, true);
}

}  // namespace
}  // namespace rosemarydrum::bench

int main() {
  rosemarydrum::bench::compare(3);
  rosemarydrum::bench::compare(4);
  return 0;
}
