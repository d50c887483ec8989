#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "command/driven_store.h"
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
  if (const auto* wrong = std::get_if<field_error>(&loaded)) {
    const auto& row = description_of(error_kind::bad_settings);
    std::cerr << row.name << ": " << to_line(*wrong) << '\n';
    return row.exit_code;
  }
  const auto& options = std::get<settings>(loaded);

  boost::asio::io_context io;
  // Subcommands that need the store refuse to run without its address.
  http_config_store store(io, to_tcp(options.store.value_or(endpoint{})));
  driven_store driven(
      store,
      [&io] {
        constexpr milliseconds longest_step{10};
        // Otherwise it would return at once after running out of work.
        io.restart();
        if (io.run_one_for(longest_step) == 0 && io.stopped()) {
          std::this_thread::sleep_for(longest_step);
        }
      },
      options.timeout);
  rpc_fleet_client fleet;
  std::random_device random;
  command_context context{
      options,
      driven,
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
