#define BOOST_TEST_MODULE scenario
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "known_red.h"
#include "scenario/script.h"

namespace rosemarydrum::scenario {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t seed = 1;

std::vector<std::string> scenario_names() {
  std::vector<std::string> names;
  const fs::path folder = fs::path(ROSEMARYDRUM_SOURCE_DIR) / "test/scenarios";
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == ".scenario") {
      names.push_back(entry.path().stem().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string read_scenario(const std::string& name) {
  std::ifstream in(fs::path(ROSEMARYDRUM_SOURCE_DIR) / "test/scenarios" /
                   (name + ".scenario"));
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::string> required_mechanisms(const std::string& text) {
  std::vector<std::string> names;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    constexpr std::string_view directive = "fails-without ";
    if (line.starts_with(directive)) {
      names.push_back(line.substr(directive.size()));
    }
  }
  return names;
}

// Guards against a guarantee that does not hold under the faults of a scenario.
BOOST_DATA_TEST_CASE(expectations_are_met,
                     boost::unit_test::data::make(scenario_names()), name) {
  if (is_known_red("scenario: " + name)) {
    return;
  }
  checker checks;
  const auto results = run_script(read_scenario(name), seed, {}, checks);
  for (const auto& [line, measured, met] : results) {
    BOOST_CHECK_MESSAGE(met, name << ": " << line << ", measured " << measured);
  }
  for (const auto& [measure, value] : checks.counts()) {
    BOOST_TEST_MESSAGE(name << " " << measure << " " << value);
  }
}

// Guards against expectations that are met even without the mechanism that they
// test.
BOOST_DATA_TEST_CASE(fails_without_its_mechanism,
                     boost::unit_test::data::make(scenario_names()), name) {
  const auto text = read_scenario(name);
  for (const auto& mechanism : required_mechanisms(text)) {
    checker checks;
    const auto results = run_script(text, seed, {mechanism}, checks);
    const bool all_met = std::all_of(results.begin(), results.end(),
                                     [](const auto& r) { return r.met; });
    BOOST_CHECK_MESSAGE(!all_met, name << " passes without " << mechanism);
  }
}

}  // namespace
}  // namespace rosemarydrum::scenario
