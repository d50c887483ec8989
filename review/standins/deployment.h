#pragma once

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>

#include "ends.h"
#include "sockets.h"

namespace review {

inline constexpr const char* service_address = "127.200.0.1";
inline constexpr std::uint16_t service_port = 8443;

/// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

/// The text of a configuration with one route, as the operator writes it.
inline std::string configuration_text(int version, const std::string& service,
                                      int idle_timeout_ms,
                                      const std::string& more_routes = "",
                                      const std::string& warmup_per_s = "0.0",
                                      const std::string& more_services = "") {
  return "{\"Version\":" + std::to_string(version) +
         ",\"Routes\":[{\"Name\":\"r-main\",\"Host\":\"" + service_address +
         "\",\"Prefix\":\"/" + std::to_string(service_port) +
         "/\",\"Type\":\"idempotent\",\"TimeoutMs\":1500,\"SloMs\":300,"
         "\"Priority\":2,\"Service\":\"" +
         service + "\",\"Attempts\":2}" + more_routes +
         "],\"Services\":[{\"Name\":\"" + service +
         "\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\"Proto\":\"h1\","
         "\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":" +
         warmup_per_s + "}" + more_services +
         "],\"Limits\":{"
         "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":" +
         std::to_string(idle_timeout_ms) + "}}";
}

/// A deployment on loopback addresses, with its record.
class deployment {
 public:
  explicit deployment(const std::string& record_file)
      : folder_(temporary_folder()),
        record_(std::fopen(record_file.c_str(), "w")),
        began_(clock::now()),
        ports{free_port(), free_port(), free_port(),
              free_port(), free_port(), free_port()},
        data(loop, INADDR_LOOPBACK, ports.store),
        fleet(loop, ports, folder_),
        world(loop, fleet, data, 1) {
    world.note = [this](const std::string& line) { note(line); };
  }
  ~deployment() {
    std::fclose(record_);
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  void note(const std::string& line) {
    const std::chrono::duration<double> since = clock::now() - began_;
    std::fprintf(record_, "%8.3f s  %s\n", since.count(), line.c_str());
    std::fflush(record_);
  }

  /// Whether the script plays the disruption.
  static bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
  }

  void start_all() {
    for (const auto& each : fleet.all()) {
      fleet.start(*each);
    }
  }
  /// Runs `then` when all nodes are in rotation; ends with `not_run` if they
  /// are not within 20 s.
  void when_ready(std::function<void()> then) {
    wait_ready(std::move(then), clock::now() + std::chrono::seconds(20));
  }

  int run() {
    loop.run();
    return result;
  }
  void finish(int with) {
    result = with;
    loop.stop();
  }

 private:
  static std::string temporary_folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    return name;
  }
  void wait_ready(std::function<void()> then, time_point until) {
    if (fleet.all_in_rotation()) {
      then();
    } else if (clock::now() > until) {
      note("the programs did not become ready; logs in " + folder_);
      finish(not_run);
    } else {
      loop.after(milliseconds(50), [this, then = std::move(then), until] {
        wait_ready(then, until);
      });
    }
  }

  std::string folder_;
  std::FILE* record_;
  time_point began_;

 public:
  event_loop loop;
  deployment_ports ports;
  store data;
  machines fleet;
  ends world;
  int result = not_run;
};

}  // namespace review
