// Runs random scenarios on the real balancer cores and counts violations of the
// guarantees. Prints one line per figure:
// figure=<name> value=<number> unit=<unit> target=<number> ok|short
#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <string>

#include "scenario/random_scenario.h"
#include "scenario/script.h"

namespace rosemarydrum::bench {
namespace {

struct soak_settings {
  std::uint64_t seed = 1;
  std::uint64_t requests = 1'000'000;
  std::uint64_t seconds = 600;
};

/// Runs scenarios until the limit of requests or seconds is reached.
class soak {
 public:
  explicit soak(const soak_settings& settings) : settings_(settings) {}

  void run() {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(settings_.seconds);
    for (auto seed = settings_.seed;
         total("asked") < static_cast<double>(settings_.requests) &&
         std::chrono::steady_clock::now() < end;
         ++seed) {
      run_scenario(seed);
    }
  }

  void print() const {
    for (const char* name : {"double_runs", "false_refusals", "wrong_service",
                             "mixed_answers", "late_packets_to_out"}) {
      print_figure(name, total(name), "count", 0, total(name) == 0);
    }
    print_figure("cold_load_percent", total("cold_load_percent"), "percent",
                 100, total("cold_load_percent") <= 100);
    const auto target = static_cast<double>(settings_.requests);
    print_figure("requests", total("asked"), "count", target,
                 total("asked") >= target);
  }

 private:
  double total(const std::string& name) const {
    const auto found = totals_.find(name);
    return found == totals_.end() ? 0 : found->second;
  }

  static void print_figure(const char* name, double value, const char* unit,
                           double target, bool ok) {
    std::printf("figure=soak_%s value=%.0f unit=%s target=%.0f %s\n", name,
                value, unit, target, ok ? "ok" : "short");
  }

  void run_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto script = to_script(scenario::draw_scenario(random));
    scenario::checker checks;
    for (const auto& [line, measured, met] :
         scenario::run_script(script, seed, {}, checks)) {
      if (!met) {
        std::cerr << "seed " << seed << ": " << line << ", measured "
                  << measured << '\n';
      }
    }
    for (const char* name : {"double_runs", "false_refusals", "wrong_service",
                             "mixed_answers", "late_packets_to_out", "asked"}) {
      totals_[name] += checks.value(name);
    }
    auto& cold = totals_["cold_load_percent"];
    cold = std::max(cold, checks.value("cold_load_percent"));
  }

  soak_settings settings_;
  std::map<std::string, double> totals_;
};

}  // namespace
}  // namespace rosemarydrum::bench

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  using rosemarydrum::bench::soak;
  using rosemarydrum::bench::soak_settings;
  soak_settings settings;
  options::options_description known("Options");
  known.add_options()("help", "print the options")(
      "seed", options::value(&settings.seed), "first scenario's seed")(
      "requests", options::value(&settings.requests),
      "requests to ask at least")("seconds", options::value(&settings.seconds),
                                  "longest run")("script",
                                                 "print the first script only");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, known), given);
    options::notify(given);
  } catch (const options::error& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (given.contains("help")) {
    std::cout << known;
    return 0;
  }
  if (given.contains("script")) {
    std::mt19937_64 random(settings.seed);
    std::cout << to_script(rosemarydrum::scenario::draw_scenario(random));
    return 0;
  }
  soak all(settings);
  all.run();
  all.print();
  return 0;
}
