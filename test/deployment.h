#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "child_process.h"
#include "daemon/http_config_store.h"
#include "io/addresses.h"
#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum {

/// Two data centres on loopback, each with a fabric node, 3 balancers and 4
/// upstreams, and one store. Each is a separate process.
class deployment {
 public:
  static constexpr int centres = 2;
  static constexpr int balancers_each = 3;
  static constexpr int upstreams_each = 4;
  static constexpr int service_number = 1;

  using process = std::unique_ptr<child_process>;

  deployment() {
    store = start("test/store", {});
    store_address_ = store->line_after("listening ");
    for (int centre = 1; centre <= centres; ++centre) {
      start_centre(centre);
    }
    write_configuration();
    for (int centre = 1; centre <= centres; ++centre) {
      for (int i = 0; i < balancers_each; ++i) {
        const auto& line = listening_.at(number(centre, i));
        fabrics[centre]->write_line("balancer " + field(line, "data=") + " " +
                                    field(line, "metrics="));
      }
    }
  }

  static int number(int centre, int index) {
    return (centre - 1) * balancers_each + index + 1;
  }

  /// Returns whether both fabric nodes see all their balancers ready within
  /// `limit`.
  bool wait_until_ready(std::chrono::seconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    for (auto& [_, fabric] : fabrics) {
      for (std::string healthy; healthy != std::to_string(balancers_each);) {
        if (std::chrono::steady_clock::now() > end) {
          return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const auto seen = fabric->lines().size();
        fabric->write_line("healthy");
        healthy = fabric->line_after("healthy ", seen);
      }
    }
    return true;
  }

  process start_caller(int centre, const std::string& source,
                       std::uint64_t first_flow, int flows, int requests,
                       const std::vector<std::string>& more) const {
    std::vector<std::string> flags{
        "--source",     source,
        "--service",    services_.at(centre),
        "--service-id", std::to_string(service_number),
        "--first-flow", std::to_string(first_flow),
        "--flows",      std::to_string(flows),
        "--requests",   std::to_string(requests)};
    flags.insert(flags.end(), more.begin(), more.end());
    return start("test/caller", flags);
  }

  /// Returns the events of all balancers from the store, in order.
  std::vector<std::string> events() const {
    const auto command =
        start("apps/rosemarydrum", {"events", "--store", store_address_});
    command->wait_exit(std::chrono::seconds(10));
    return command->lines();
  }

  process store;
  /// Keyed by data centre.
  std::map<int, process> fabrics;
  /// Keyed by `number()`.
  std::map<int, process> balancers;
  std::map<int, process> upstreams;

 private:
  static process start(const std::string& program,
                       const std::vector<std::string>& flags) {
    return std::make_unique<child_process>(
        std::string(ROSEMARYDRUM_BINARY_DIR) + "/" + program, flags);
  }

  static std::string field(const std::string& line, const std::string& name) {
    std::istringstream rest(line.substr(line.find(name) + name.size()));
    std::string value;
    rest >> value;
    return value;
  }

  void start_centre(int centre) {
    std::vector<std::string> flags{"--service", "127.0.0.1:0", "--seed",
                                   std::to_string(centre)};
    if (centre > 1) {
      flags.insert(flags.end(), {"--advertise", services_.at(1)});
    }
    fabrics[centre] = start("test/fabric", flags);
    const auto fabric = fabrics[centre]->line_after("listening ");
    services_[centre] = fabrics[centre]->line_after("service ");
    for (int i = 0; i < upstreams_each; ++i) {
      const int id = 100 * centre + i;
      upstreams[id] = start("test/upstream", {"--seed", std::to_string(id)});
    }
    for (int i = 0; i < balancers_each; ++i) {
      const int id = number(centre, i);
      balancers[id] = start(
          "apps/rosemarydrum-balancer",
          {"--id", std::to_string(id), "--data-centre", std::to_string(centre),
           "--listen", "127.0.0.1:0", "--store", store_address_, "--fabric",
           fabric, "--token-secret", "a secret of the smoke test"});
      listening_[id] = balancers[id]->line_after("listening ");
    }
  }

  void write_configuration() {
    service target;
    target.id = service_id(service_number);
    target.name = "hour-signal";
    target.owner = "timekeeping";
    target.address = parse_endpoint(services_.at(1)).value();
    for (auto& [id, instance] : upstreams) {
      target.upstreams.push_back(
          {upstream_id(id), data_centre_id(id / 100),
           parse_endpoint(instance->line_after("listening ")).value(), 4,
           service_state::in});
    }
    target.approvals = {
        {caller_id(1), "towers", *parse_prefix("127.0.1.0/24"), true, 9, 5000},
        {caller_id(2), "keepers", *parse_prefix("127.0.2.0/24"), false, 5,
         5000}};
    for (int centre = 1; centre <= centres; ++centre) {
      data_centre entry;
      entry.id = data_centre_id(centre);
      entry.name = "dc" + std::to_string(centre);
      for (int i = 0; i < balancers_each; ++i) {
        const int id = number(centre, i);
        entry.balancers.push_back(
            {balancer_id(id),
             parse_endpoint(field(listening_.at(id), "data=")).value()});
      }
      put(data_centre_key(entry.name), entry);
    }
    put(service_key(target.name), target);
  }

  void put(const std::string& key, const document_value& value) {
    boost::asio::io_context context;
    const auto address = parse_endpoint(store_address_).value();
    http_config_store client(context, to_tcp(address));
    const std::string operation = "smoke-" + key;
    bool done = false;
    error_kind error = error_kind::timed_out;
    client.compare_and_swap(
        {key, encode_document(value, std::vector<std::string>{operation}),
         revision{}, operation},
        [&](const store_write_result& written) {
          error = written.error;
          done = true;
        });
    while (!done && context.run_one_for(std::chrono::seconds(10)) > 0) {
    }
    if (error != error_kind::none) {
      throw std::runtime_error("cannot write " + key);
    }
  }

  std::string store_address_;
  /// The service's address at each data centre's fabric node.
  std::map<int, std::string> services_;
  std::map<int, std::string> listening_;
};

}  // namespace rosemarydrum
