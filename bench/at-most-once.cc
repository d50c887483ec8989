// Counts wrong outcomes of requests when links lose, repeat, delay and reorder
// messages, owners pause and die, and other balancers close requests. Prints
// figure=<name> value=<number> unit=<unit> target=<number> ok|short
#include <cstdio>
#include <cstdlib>
#include <string>

#include "request_simulation.h"

namespace rosemarydrum {
namespace {

constexpr int requests_per_simulation = 60;

void print(const std::string& name, double value, const char* unit,
           double target) {
  std::printf("figure=%s value=%.0f unit=%s target=%.0f %s\n", name.c_str(),
              value, unit, target, value <= target ? "ok" : "short");
}

void measure(const std::string& method, bool records, int simulations) {
  request_simulation::findings sum;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  for (int seed = 1; seed <= simulations; ++seed) {
    request_simulation simulation(static_cast<std::uint64_t>(seed),
                                  {.loss = 0.1,
                                   .repeat = 0.2,
                                   .shed = 0.1,
                                   .closes = 0.5,
                                   .pauses = seed % 2 == 0,
                                   .dies = seed % 4 < 2,
                                   .records = records});
    simulation.run(requests_per_simulation);
    const auto found = simulation.check();
    sum.second_sends += found.second_sends;
    sum.false_not_run += found.false_not_run;
    sum.wrong_answers += found.wrong_answers;
    sum.wrong_releases += found.wrong_releases;
    sum.late_sends += found.late_sends;
    answered += simulation.answered();
    not_run += simulation.refused_not_run();
  }
  print(method + "_second_runs", sum.second_sends, "requests", 0);
  print(method + "_false_not_run", sum.false_not_run, "requests", 0);
  print(method + "_wrong_answers", sum.wrong_answers, "answers", 0);
  print(method + "_wrong_releases", sum.wrong_releases, "slots", 0);
  print(method + "_late_sends", sum.late_sends, "sends", 0);
  std::printf("%s: %d requests, %zu answered, %zu refused as not run\n",
              method.c_str(), simulations * requests_per_simulation, answered,
              not_run);
}

}  // namespace
}  // namespace rosemarydrum

/// Usage: at_most_once [SIMULATIONS]; a simulation has 60 requests.
int main(int argc, char** argv) {
  const rosemarydrum::manual_time held;
  const int simulations = argc > 1 ? std::atoi(argv[1]) : 17'000;
  rosemarydrum::measure("no_record", false, simulations);
  rosemarydrum::measure("record_first", true, simulations);
}
