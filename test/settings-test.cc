#define BOOST_TEST_MODULE settings
#include "rosemarydrum/settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace rosemarydrum {
namespace {

using words = std::vector<std::string>;

const char* empty_environment(const char*) { return nullptr; }

words daemon_flags() {
  return {"--id=7",
          "--data-centre=2",
          "--listen=127.0.0.1:7000",
          "--store=127.0.0.1:8000",
          "--fabric=127.0.0.1:9000",
          "--token-secret=0123456789abcdef"};
}

std::variant<settings, field_error> load(
    const words& extra, program which = program::balancer,
    const environment& variables = empty_environment) {
  auto arguments = which == program::balancer ? daemon_flags() : words{};
  arguments.insert(arguments.end(), extra.begin(), extra.end());
  return load_settings(which, arguments, variables);
}

settings require_settings(const std::variant<settings, field_error>& result) {
  if (const auto* wrong = std::get_if<field_error>(&result)) {
    BOOST_FAIL(to_line(*wrong));
  }
  return std::get<settings>(result);
}

field_error require_error(const std::variant<settings, field_error>& result) {
  BOOST_REQUIRE(std::holds_alternative<field_error>(result));
  return std::get<field_error>(result);
}

// Guards against a flag that is accepted but not stored in any field.
BOOST_AUTO_TEST_CASE(every_daemon_setting_is_stored) {
  const auto all = require_settings(
      load({"--rpc-listen=127.0.0.1:1", "--metrics-listen=127.0.0.1:2",
            "--fabric=127.0.0.1:9001", "--peer=8@127.0.0.1:7010",
            "--log-level=error"}));
  BOOST_CHECK(all.id == balancer_id(7));
  BOOST_CHECK(all.data_centre == data_centre_id(2));
  BOOST_CHECK(all.listen == (endpoint{0x7f000001, 7000}));
  BOOST_CHECK(all.rpc_listen == (endpoint{0x7f000001, 1}));
  BOOST_CHECK(all.metrics_listen == (endpoint{0x7f000001, 2}));
  BOOST_CHECK(all.store == (endpoint{0x7f000001, 8000}));
  BOOST_CHECK_EQUAL(all.fabric.size(), 2U);
  BOOST_CHECK_EQUAL(all.token_secret, "0123456789abcdef");
  BOOST_REQUIRE_EQUAL(all.peers.size(), 1U);
  BOOST_CHECK(all.peers[0] ==
              (peer_address{balancer_id(8), {0x7f000001, 7010}}));
  BOOST_CHECK_EQUAL(all.log_level, "error");
}

// Guards against RPC and metrics ports that peers cannot derive.
BOOST_AUTO_TEST_CASE(other_ports_follow_the_data_port) {
  const auto all = require_settings(load({}));
  BOOST_CHECK_EQUAL(all.rpc_listen.port, 7001);
  BOOST_CHECK_EQUAL(all.metrics_listen.port, 7002);
}

// Guards against a derived port that wraps around to a small number.
BOOST_AUTO_TEST_CASE(derived_port_above_the_range_is_refused) {
  auto flags = daemon_flags();
  flags[2] = "--listen=127.0.0.1:65535";
  const auto wrong =
      require_error(load_settings(program::balancer, flags, empty_environment));
  BOOST_CHECK_EQUAL(wrong.key, "--rpc-listen");
}

// Guards against an environment variable that overrides a flag, or is ignored.
BOOST_AUTO_TEST_CASE(flags_precede_the_environment) {
  const std::map<std::string, std::string> variables = {
      {"ROSEMARYDRUM_ID", "9"},
      {"ROSEMARYDRUM_LOG_LEVEL", "warning"},
      {"ROSEMARYDRUM_PEER", "1@127.0.0.1:5,2@127.0.0.1:6"}};
  const auto all =
      require_settings(load({}, program::balancer, [&](const char* name) {
        const auto found = variables.find(name);
        return found == variables.end() ? nullptr : found->second.c_str();
      }));
  BOOST_CHECK(all.id == balancer_id(7));
  BOOST_CHECK_EQUAL(all.log_level, "warning");
  BOOST_CHECK_EQUAL(all.peers.size(), 2U);
}

// Guards against out-of-range values that reach the program.
BOOST_AUTO_TEST_CASE(wrong_values_name_key_value_range_and_fix) {
  const std::vector<std::pair<std::string, std::string>> wrong_values = {
      {"id", "0"},
      {"id", "4294967296"},
      {"id", "-1"},
      {"id", "7x"},
      {"data-centre", "65536"},
      {"listen", "localhost:7000"},
      {"listen", "127.0.0.1"},
      {"listen", "127.0.0.256:1"},
      {"store", "127.0.0.1:0"},
      {"fabric", "127.0.0.1:65536"},
      {"peer", "127.0.0.1:1"},
      {"peer", "0@127.0.0.1:1"},
      {"log-level", "loud"}};
  for (const auto& wrong_value : wrong_values) {
    const auto& name = wrong_value.first;
    const auto& value = wrong_value.second;
    const std::string key = "--" + name;
    auto flags = daemon_flags();
    std::erase_if(flags, [&](const std::string& flag) {
      return flag.starts_with(key) && flag[key.size()] == '=';
    });
    flags.insert(flags.end(), {key, value});
    const auto wrong = require_error(
        load_settings(program::balancer, flags, empty_environment));
    BOOST_CHECK_EQUAL(wrong.key, key);
    BOOST_CHECK_EQUAL(wrong.value, value);
    const auto line = to_line(wrong);
    BOOST_CHECK(line.find(wrong.allowed) != std::string::npos);
    BOOST_CHECK(line.find(environment_name(name)) != std::string::npos);
    BOOST_CHECK(line.find('\n') == std::string::npos);
  }
}

// Guards against a secret in an error message, and against a short one.
BOOST_AUTO_TEST_CASE(short_secret_is_refused_and_not_printed) {
  auto flags = daemon_flags();
  flags.back() = "--token-secret=hush";
  const auto wrong =
      require_error(load_settings(program::balancer, flags, empty_environment));
  BOOST_CHECK_EQUAL(wrong.key, "--token-secret");
  BOOST_CHECK(to_line(wrong).find("hush") == std::string::npos);
}

// Guards against a balancer that starts without a needed setting.
BOOST_AUTO_TEST_CASE(missing_settings_are_named) {
  for (std::size_t left_out = 0; left_out < daemon_flags().size(); ++left_out) {
    auto flags = daemon_flags();
    const auto name = flags[left_out].substr(0, flags[left_out].find('='));
    flags.erase(flags.begin() + static_cast<std::ptrdiff_t>(left_out));
    const auto wrong = require_error(
        load_settings(program::balancer, flags, empty_environment));
    BOOST_CHECK_EQUAL(wrong.key, name);
  }
}

// Guards against mistyped flags that a balancer silently ignores.
BOOST_AUTO_TEST_CASE(unknown_flags_and_words_are_refused_by_the_balancer) {
  BOOST_CHECK_EQUAL(require_error(load({"--log-levle=info"})).key, "flags");
  BOOST_CHECK_EQUAL(require_error(load({"--log=info"})).key, "flags");
  BOOST_CHECK_EQUAL(require_error(load({"word"})).key, "flags");
  BOOST_CHECK_EQUAL(
      require_error(load({"--log-level=info", "--log-level=error"})).key,
      "--log-level");
}

// Guards against subcommand words or flags that are parsed as settings.
BOOST_AUTO_TEST_CASE(command_keeps_the_rest_in_order) {
  const auto all =
      require_settings(load({"--store=127.0.0.1:1", "data-centre", "out", "2",
                             "--force", "--output=json", "--request=5"},
                            program::command));
  BOOST_CHECK((all.remaining_arguments ==
               words{"data-centre", "out", "2", "--force", "--request=5"}));
  BOOST_CHECK(all.output == output_format::json);
  BOOST_CHECK(all.timeout == milliseconds(5000));
  BOOST_CHECK(require_settings(load({"status"}, program::command)).store ==
              std::nullopt);
}

// Guards against --help that fails because required settings are missing.
BOOST_AUTO_TEST_CASE(help_lists_each_setting_of_the_program) {
  const auto asked = require_settings(
      load_settings(program::balancer, {"--help"}, empty_environment));
  BOOST_CHECK(asked.help);
  const auto help = settings_help(program::balancer);
  BOOST_CHECK(help.find("--token-secret") != std::string::npos);
  BOOST_CHECK(help.find("ROSEMARYDRUM_PEER") != std::string::npos);
  BOOST_CHECK(help.find("--timeout-ms") == std::string::npos);
}

}  // namespace
}  // namespace rosemarydrum
