#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rosemarydrum::scenario {

enum class fault_kind : std::uint8_t {
  kill,
  stop,
  freeze,
  cut_balancers,
  cut_one_way,
  cut_data_centres,
  cut_store,
  store_down,
  stale_store,
  data_centre_out,
  upstream_out,
  turn_cold,
  restart_upstream,
  loss,
};
constexpr std::uint8_t fault_kinds = 14;

/// A fault or a change by operators, and its end. `target` and `other` select
/// the affected objects, modulo the number of objects of that kind.
struct random_fault {
  fault_kind kind{};
  /// Start in units of 500 ms; the coarse unit makes faults coincide often.
  std::uint8_t start = 0;
  /// Length in units of 500 ms; 0 means that the fault does not end.
  std::uint8_t length = 0;
  std::uint8_t target = 0;
  std::uint8_t other = 0;
};

constexpr std::uint8_t fault_starts = 14;
constexpr std::uint8_t fault_lengths = 10;

struct random_scenario {
  std::uint8_t data_centres = 1;
  std::uint8_t balancers = 4;
  /// Requests per second in each data centre.
  std::uint16_t rate = 100;
  /// Percentage of requests that are not idempotent.
  std::uint8_t non_idempotent = 30;
  std::vector<random_fault> faults;
};

/// Returns the script in the scenario language, with the expectations that
/// every scenario must meet.
std::string to_script(const random_scenario& s);

random_scenario draw_scenario(std::mt19937_64& random);

}  // namespace rosemarydrum::scenario
