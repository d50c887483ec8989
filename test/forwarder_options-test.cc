#define BOOST_TEST_MODULE forwarder_options
#include "rosemarydrum/settings/forwarder_options.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

#include "forwarder/settings_source.h"
#include "rosemarydrum/number_text.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {
namespace {

const char* empty_environment(const char*) { return nullptr; }

const std::string file_text =
    "# A comment.\n"
    "name = edge-1\n"
    "data-centre = hartford\n"
    "listen = 10.1.0.10:8172\n"
    "ready-listen = 10.1.0.10:8167\n"
    "peer-listen = 10.1.0.10:7720\n"
    "store = 10.200.1.7:8169\n"
    "seed = 10.1.0.10:8166\n"
    "seed = 10.2.0.40:8166\n"
    "processor-share = 0.25\n"
    "cold-factor = 1.5\n"
    "stop-grace-s =\n";

std::variant<settings, field_error> load(
    const std::vector<std::string>& flags, const std::string& text = file_text,
    const environment& variables = empty_environment) {
  return load_settings(program::forwarder, flags, variables, text);
}

forwarder_options good(const std::variant<settings, field_error>& result) {
  if (const auto* wrong = std::get_if<field_error>(&result)) {
    BOOST_FAIL(to_line(*wrong));
  }
  return std::get<settings>(result).forwarder;
}

std::string wrong_key(const std::variant<settings, field_error>& result) {
  BOOST_REQUIRE(std::holds_alternative<field_error>(result));
  return std::get<field_error>(result).key;
}

/// Returns the file with the value of an existing key replaced.
std::string file_with(const std::string& name, const std::string& value) {
  const auto start = file_text.find("\n" + name + " =") + 1;
  auto text = file_text;
  return text.replace(start, file_text.find('\n', start) - start,
                      name + " = " + value);
}

std::string line_of(const std::string& name, const std::string& value) {
  return file_text + name + " = " + value + "\n";
}

// Guards against a setting of the file that is not stored in any field.
BOOST_AUTO_TEST_CASE(the_file_is_read) {
  const auto all = good(load({}));
  BOOST_CHECK_EQUAL(all.name, "edge-1");
  BOOST_CHECK_EQUAL(all.data_centre, "hartford");
  BOOST_CHECK(all.listen == (endpoint{0x0a01000a, 8172}));
  BOOST_CHECK(all.ready_listen == (endpoint{0x0a01000a, 8167}));
  BOOST_CHECK(all.peer_listen == (endpoint{0x0a01000a, 7720}));
  BOOST_CHECK_EQUAL(all.metrics_listen.port, 0);
  BOOST_CHECK(all.store == (endpoint{0x0ac80107, 8169}));
  BOOST_CHECK_EQUAL(all.seeds.size(), 2U);
  BOOST_CHECK_EQUAL(all.processor_share, 250U);
  BOOST_CHECK_EQUAL(all.cold_factor, 1500U);
  // A line without a value is ignored.
  BOOST_CHECK(all.stop_grace == seconds(6));
  BOOST_CHECK(all.flow_lifetime == seconds(60));
  BOOST_CHECK(all.configuration_bound == milliseconds(3000));
}

// Guards against a file that overrides flags or environment variables.
BOOST_AUTO_TEST_CASE(flags_come_before_environment_before_file) {
  const std::map<std::string, const char*> set{
      {"ROSEMARYDRUM_NAME", "from-environment"},
      {"ROSEMARYDRUM_DATA_CENTRE", "environment"}};
  const auto variables = [&](const char* name) {
    const auto found = set.find(name);
    return found == set.end() ? nullptr : found->second;
  };
  const auto all = good(load({"--name=from-flag"}, file_text, variables));
  BOOST_CHECK_EQUAL(all.name, "from-flag");
  BOOST_CHECK_EQUAL(all.data_centre, "environment");
}

// Guards against an invalid value that is accepted, or rejected without its
// key.
BOOST_AUTO_TEST_CASE(each_wrong_value_is_named) {
  const std::pair<std::string, std::string> wrong_values[] = {
      {"listen", "10.1.0.10"},         {"store", "10.1.0.10:0"},
      {"processor-share", "0"},        {"processor-share", "0.0001"},
      {"processor-share", "1,5"},      {"flow-lifetime-s", "0"},
      {"configuration-bound-ms", "1"}, {"cold-extra", "-1"},
      {"log-level", "loud"},           {"log-flows", "x"},
  };
  for (const auto& [name, value] : wrong_values) {
    const bool is_in_the_file =
        name == "listen" || name == "store" || name == "processor-share";
    const auto text =
        is_in_the_file ? file_with(name, value) : line_of(name, value);
    BOOST_TEST_CONTEXT(name << " = " << value) {
      BOOST_CHECK_EQUAL(wrong_key(load({}, text)), "--" + name);
    }
  }
  BOOST_CHECK_EQUAL(wrong_key(load({}, line_of("colour", "red"))),
                    "settings file");
  BOOST_CHECK_EQUAL(wrong_key(load({}, line_of("name", "twice"))), "--name");
  BOOST_CHECK_EQUAL(wrong_key(load({}, "")), "--name");
  BOOST_CHECK_EQUAL(wrong_key(load({"--id=1"})), "flags");
}

// Guards against a deploy file that does not match the settings table.
BOOST_AUTO_TEST_CASE(templates_are_checked) {
  const auto check = [](const std::string& text) {
    return check_settings_template(program::forwarder, text);
  };
  std::ifstream stream(ROSEMARYDRUM_SOURCE_DIR "/deploy/forwarder.conf");
  const std::string deployed(std::istreambuf_iterator<char>(stream), {});
  BOOST_CHECK(!check(deployed));
  BOOST_CHECK_EQUAL(check(deployed + "colour = {{Colour}}\n")->key,
                    "settings file");
  BOOST_CHECK_EQUAL(check(deployed + "log-level = loud\n")->key, "--log-level");
  BOOST_CHECK_EQUAL(check("name = {{NodeName}}\n")->key, "--data-centre");
}

// Guards against decimal places that are parsed with the wrong weight.
BOOST_AUTO_TEST_CASE(thousandths_are_exact) {
  BOOST_CHECK(parse_thousandths("0.25") == 250U);
  BOOST_CHECK(parse_thousandths("2") == 2000U);
  BOOST_CHECK(parse_thousandths("1.5000") == 1500U);
  BOOST_CHECK(parse_thousandths("0.001") == 1U);
  for (const auto* wrong : {"", ".", "1.", ".5", "1.2345", "-1", "1e3", "x"}) {
    BOOST_CHECK_MESSAGE(!parse_thousandths(wrong), wrong);
  }
  for (const std::uint64_t value : {0U, 1U, 10U, 250U, 1000U, 1500U, 64'000U}) {
    BOOST_CHECK(parse_thousandths(thousandths_text(value)) == value);
  }
}

// Guards against a change of the settings file that is not detected, or is
// reported to be in force although it needs a restart.
BOOST_AUTO_TEST_CASE(changes_of_the_file_are_found) {
  const auto path = std::filesystem::temp_directory_path() /
                    ("forwarder-options-" + std::to_string(getpid()));
  const auto write = [&](const std::string& text) {
    std::ofstream(path) << text;
  };
  write(file_text);
  settings_source source({"--settings-file", path.string()}, empty_environment,
                         "");
  const auto before = std::get<forwarder_options>(source.load());
  BOOST_CHECK(!source.has_changed());
  write(file_text + "log-level = error\nmetrics-listen = 10.1.0.10:9464\n");
  BOOST_CHECK(source.has_changed());
  const auto after = std::get<forwarder_options>(source.load());
  BOOST_CHECK(!source.has_changed());
  const auto found = difference(before, after);
  BOOST_CHECK(found.immediate == std::vector<std::string>{"log-level"});
  BOOST_CHECK(found.after_restart ==
              std::vector<std::string>{"metrics-listen"});
  write("nonsense");
  BOOST_CHECK(std::holds_alternative<field_error>(source.load()));
  std::filesystem::remove(path);
  BOOST_CHECK(std::holds_alternative<field_error>(source.load()));
}

}  // namespace
}  // namespace rosemarydrum
