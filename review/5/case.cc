// The platform's store is down for some seconds, and leases run out meanwhile.
// Later a zone is taken back that holds all backends of a service.

#include <algorithm>
#include <csignal>
#include <cstdio>

#include "../standins/deployment.h"

namespace review {
namespace {

constexpr double requests_per_second = 375;
constexpr int idle_timeout_ms = 15'000;
constexpr milliseconds heartbeat{1200};
constexpr milliseconds work_time{55};
/// `WarmupS`; `WarmupPerS` x `ColdOver` + `ColdSlack` of the settings.
constexpr milliseconds warmup{2000};
constexpr const char* warmup_per_s = "4.0";
constexpr int cold_limit = 11;
constexpr milliseconds down_at{1000};
constexpr milliseconds down_for{4500};
constexpr milliseconds evacuated_at{6500};
constexpr milliseconds evacuated_for{8000};
/// The zone's backends become cold this long before it is taken back.
constexpr milliseconds cold_before{300};
/// Every so many requests one goes to the archive.
constexpr int archive_share = 5;
constexpr const char* archive_zone = "portsmouth";
constexpr const char* archive_address = "127.200.0.2";
constexpr int archive_backends = 2;
constexpr milliseconds end_time{20'000};
constexpr milliseconds one_second{1000};

struct place {
  std::string zone;
  int machines;
  int backends;
};
const std::vector<place> places{
    {"hartford", 3, 5}, {"worcester", 3, 5}, {"portsmouth", 2, 4}};

class scenario {
 public:
  scenario(const std::string& record, bool trouble)
      : at_(record), trouble_(trouble) {}

  int run() {
    at_.note(trouble_ ? "with the outage of the store"
                      : "without the disruption");
    for (std::size_t z = 0; z < places.size(); ++z) {
      const auto number = std::to_string(z + 1);
      at_.world.add_client("127.100.0." + number);
      for (int i = 0; i < places[z].machines; ++i) {
        at_.fleet.add(places[z].zone,
                      "127.1." + number + "." + std::to_string(10 + i));
      }
      for (int i = 0; i < places[z].backends; ++i) {
        at_.world
            .add_backend("chime", places[z].zone,
                         "127.50." + number + "." + std::to_string(20 + i))
            .work = work_time;
      }
    }
    for (int i = 0; i < archive_backends; ++i) {
      at_.world
          .add_backend("archive", archive_zone,
                       "127.50.9." + std::to_string(20 + i))
          .work = work_time;
    }
    at_.data.put("op/config", configuration_text(3, "chime", idle_timeout_ms,
                                                 archive_route(), warmup_per_s,
                                                 archive_service()));
    at_.world.beat(heartbeat);
    at_.start_all();
    at_.when_ready([this] { begin(); });
    return at_.run();
  }

 private:
  static std::string archive_route() {
    return std::string(",{\"Name\":\"r-archive\",\"Host\":\"") +
           archive_address + "\",\"Prefix\":\"/" +
           std::to_string(service_port) +
           "/\",\"Type\":\"download\",\"TimeoutMs\":3000,\"SloMs\":500,"
           "\"Priority\":2,\"Service\":\"archive\",\"Attempts\":2}";
  }
  static std::string archive_service() {
    return std::string(",{\"Name\":\"archive\",\"HealthPath\":\"/health\",") +
           "\"MaxConns\":2000,\"Proto\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,"
           "\"WarmupPerS\":" +
           warmup_per_s + "}";
  }

  void begin() {
    at_.note("all machines are in rotation");
    const auto taken_back = evacuated_at + evacuated_for;
    if (trouble_) {
      at_.loop.after(down_at, [this] {
        at_.note("the store answers 503; leases run out");
        at_.data.go_down();
      });
      at_.loop.after(down_at + down_for, [this] {
        at_.note("the store is back");
        at_.data.come_back();
      });
    }
    at_.loop.after(evacuated_at, [this] {
      at_.note(std::string("op/evacuate/") + archive_zone + " is written");
      at_.data.put(std::string("op/evacuate/") + archive_zone, "{}");
    });
    at_.loop.after(taken_back - cold_before, [this] {
      at_.note("the backends of the zone become cold");
      for (const auto& each : at_.world.backends) {
        if (each->zone == archive_zone) {
          each->cold_until = clock::now() + warmup;
        }
      }
    });
    at_.loop.after(taken_back, [this] {
      at_.note(std::string("op/evacuate/") + archive_zone + " is removed");
      at_.data.remove(std::string("op/evacuate/") + archive_zone);
    });
    next_request();
    at_.loop.after(end_time, [this] { judge(); });
  }

  // The clients of a zone send in proportion to its machines.
  void next_request() {
    int machines = 0;
    for (const auto& each : places) {
      machines += each.machines;
    }
    auto left = sent_ % machines;
    std::size_t zone = 0;
    while (left >= places[zone].machines) {
      left -= places[zone].machines;
      ++zone;
    }
    const auto port = static_cast<std::uint16_t>(10'000 + sent_ % 50'000);
    ++sent_;
    at_.world.open_flow(
        places[zone].zone, ip_of("127.100.0." + std::to_string(zone + 1)), port,
        ip_of(sent_ % archive_share == 0 ? archive_address : service_address),
        service_port);
    next_at_ = next_at_ == time_point{} ? clock::now() : next_at_;
    next_at_ += std::chrono::microseconds(
        static_cast<std::int64_t>(1e6 / requests_per_second));
    at_.loop.at(next_at_, [this] { next_request(); });
  }

  void judge() {
    bool is_broken = false;
    for (const auto& each : at_.world.backends) {
      std::vector<taken_opening> cold;
      for (const auto& opening : at_.world.openings) {
        if (opening.backend == each->id && opening.cold) {
          cold.push_back(opening);
        }
      }
      int most = 0;
      for (const auto& first : cold) {
        int in_second = 0;
        for (const auto& other : cold) {
          in_second += other.sent >= first.sent &&
                               other.arrived <= first.sent + one_second
                           ? 1
                           : 0;
        }
        most = std::max(most, in_second);
      }
      if (!cold.empty()) {
        at_.note("backend " + each->id + " of " + each->zone + ": at most " +
                 std::to_string(most) +
                 " flows in one second while it was cold; allowed: " +
                 std::to_string(cold_limit));
      }
      is_broken = is_broken || most > cold_limit;
    }
    int answered = 0;
    for (const auto& [key, flow] : at_.world.flows) {
      answered += flow->answered;
    }
    at_.note("flows: " + std::to_string(at_.world.flows.size()) +
             ", answered: " + std::to_string(answered));
    if (answered < sent_ / 2 || at_.fleet.own_ends > 0) {
      at_.note("not judged: few answers, or a process ended by itself");
      at_.finish(not_run);
      return;
    }
    at_.finish(is_broken ? rule_broken : rule_held);
  }

  deployment at_;
  bool trouble_;
  int sent_ = 0;
  time_point next_at_;
};

}  // namespace
}  // namespace review

int main(int, char** words) {
  signal(SIGPIPE, SIG_IGN);
  return review::scenario(words[1], review::deployment::has_trouble()).run();
}
