#include <sys/resource.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "soak/soak_faults.h"

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;

constexpr milliseconds start_time{3000};
/// Faults start at these random intervals, so that several overlap.
constexpr int min_gap_ms = 200;
constexpr int max_gap_ms = 2500;
/// Time after the end of a fault in which it may still affect service.
constexpr milliseconds settle_time{7000};
constexpr milliseconds calm_time{4000};
/// Longer than the deadline of a request.
constexpr milliseconds request_time{2500};

struct soak_run {
  soak_settings settings;
  seconds fault_time{20};
  std::string log_directory;
  bool verbose = false;
};

/// Starts random faults until `end`; `last_end()` is when the last one ends.
class fault_series {
 public:
  fault_series(soak_fleet& fleet, time_point end, bool verbose)
      : fleet_(fleet), end_(end), last_end_(end), verbose_(verbose) {
    schedule_next();
  }
  time_point last_end() const { return last_end_; }

 private:
  void schedule_next() {
    const auto gap = min_gap_ms + static_cast<int>(fleet_.random() %
                                                   (max_gap_ms - min_gap_ms));
    fleet_.time.after(milliseconds(gap), [this] {
      const auto now = fleet_.time.now();
      if (now >= end_) {
        return;
      }
      const auto faults = soak_faults();
      const auto& fault = faults[fleet_.random() % faults.size()];
      const auto fault_duration = fault.inject(fleet_);
      last_end_ = std::max(last_end_, now + fault_duration);
      if (verbose_) {
        std::cout << "at " << now.time_since_epoch().count() / 1000 << " ms "
                  << fault.name << " for " << fault_duration.count() / 1000
                  << " ms\n";
      }
      schedule_next();
    });
  }

  soak_fleet& fleet_;
  time_point end_;
  time_point last_end_;
  bool verbose_;
};

void write_logs(const soak_run& wanted, soak_fleet& fleet) {
  if (wanted.log_directory.empty()) {
    return;
  }
  for (const auto& node : fleet.nodes) {
    if (node->process) {
      std::ofstream out(wanted.log_directory + "/" +
                        std::to_string(wanted.settings.seed) + "-" +
                        node->name + ".json");
      for (const auto& line : node->process->lines()) {
        out << line << '\n';
      }
    }
  }
}

/// Returns the number of violated guarantees.
std::size_t run(const soak_run& wanted) {
  boost::asio::io_context io(1);
  soak_fleet fleet(io, wanted.settings);
  io.run_for(start_time);
  fleet.start_load();
  const auto began = fleet.time.now();
  const fault_series series(fleet, began + wanted.fault_time, wanted.verbose);
  while (fleet.time.now() < series.last_end() + settle_time) {
    io.run_for(milliseconds(250));
    fleet.check_processes();
  }
  const auto calm_from = fleet.time.now();
  io.run_for(calm_time);
  const auto calm_to = fleet.time.now();
  fleet.stop_load();
  io.run_for(request_time);
  fleet.check_processes();
  if (const auto unserved = fleet.unserved(calm_from, calm_to); unserved > 0) {
    fleet.checks.fail("RECOVER", std::to_string(unserved) +
                                     " requests of the calm end not served");
  }
  std::size_t served = 0;
  for (const auto& [number, outcome] : fleet.callers->outcomes) {
    served += outcome.served ? 1 : 0;
  }
  std::cout << "seed " << wanted.settings.seed << ": "
            << fleet.callers->outcomes.size() << " requests, " << served
            << " served, " << fleet.checks.violations.size()
            << " promises broken\n";
  for (std::size_t i = 0; i < fleet.checks.violations.size() && i < 10; ++i) {
    std::cout << "  " << fleet.checks.violations[i] << '\n';
  }
  if (!fleet.checks.violations.empty()) {
    write_logs(wanted, fleet);
  }
  return fleet.checks.violations.size();
}

int run_soak(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  soak_run wanted;
  std::uint64_t seeds = 1;
  int fault_seconds = 20;
  po::options_description flags("soak");
  flags.add_options()("help", "Print this help.")(
      "program", po::value(&wanted.settings.program)->required(),
      "The forwarder to run.")("seed", po::value(&wanted.settings.seed),
                               "First seed.")(
      "seeds", po::value(&seeds), "Number of seeds, one after the other.")(
      "seconds", po::value(&fault_seconds), "Time with faults.")(
      "forwarders", po::value(&wanted.settings.forwarders_each),
      "Forwarders in each of three data centres.")(
      "logs", po::value(&wanted.log_directory),
      "Directory for the logs of runs that fail.")("verbose",
                                                   "Print each fault.");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(count, words, flags), given);
    if (given.count("help") > 0) {
      std::cout << flags;
      return 0;
    }
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  wanted.verbose = given.count("verbose") > 0;
  wanted.fault_time = std::chrono::seconds(fault_seconds);
  std::size_t failed = 0;
  for (std::uint64_t i = 0; i < seeds; ++i, ++wanted.settings.seed) {
    failed += run(wanted) > 0 ? 1 : 0;
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace rosemarydrum

/// Runs randomized soak tests of the real forwarder:
/// soak --program FILE --seed N.
int main(int count, char** words) {
  return rosemarydrum::run_soak(count, words);
}
