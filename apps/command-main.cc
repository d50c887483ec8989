#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "command/blocking_store.h"
#include "command/rpc_fleet_client.h"
#include "command/run_command.h"
#include "daemon/http_config_store.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

boost::asio::ip::tcp::endpoint to_tcp(const endpoint& address) {
  return {boost::asio::ip::address_v4(address.address), address.port};
}

int run(const std::vector<std::string>& arguments) {
  auto loaded = load_settings(
      program::command, arguments,
      [](const char* name) -> const char* { return std::getenv(name); });
  if (const auto* invalid = std::get_if<field_error>(&loaded)) {
    const auto& description = description_of(error_kind::bad_settings);
    std::cerr << description.name << ": " << to_line(*invalid) << '\n';
    return description.exit_code;
  }
  const auto& options = std::get<settings>(loaded);

  boost::asio::io_context io;
  // Without a store address the endpoint is a placeholder: subcommands that
  // need the store refuse to run.
  http_config_store store(io, to_tcp(options.store.value_or(endpoint{})));
  blocking_store blocking(
      store,
      [&io] {
        constexpr milliseconds max_step{10};
        // A stopped context returns at once until it is restarted.
        io.restart();
        if (io.run_one_for(max_step) == 0 && io.stopped()) {
          std::this_thread::sleep_for(max_step);
        }
      },
      options.timeout);
  rpc_fleet_client fleet;
  std::random_device random;
  command_context context{
      options,
      blocking,
      fleet,
      std::cin,
      [] { return runtime_clock::to_unix(runtime_clock::now()); },
      [](milliseconds time) { std::this_thread::sleep_for(time); },
      [&random] { return std::uint64_t{random()}; }};
  return run_command(context, std::cout, std::cerr);
}

}  // namespace
}  // namespace rosemarydrum

int main(int argc, char** argv) {
  return rosemarydrum::run({argv + 1, argv + argc});
}
