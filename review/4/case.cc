// A zone is taken back while half of the machines are being restarted. The
// zone's backends have become cold shortly before.

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
constexpr milliseconds evacuated_at{2000};
constexpr milliseconds evacuated_for{8000};
/// The zone's backends become cold this long before it is taken back.
constexpr milliseconds cold_before{300};
/// Processes are killed this long before; the platform starts them again after
/// 0.4 s.
constexpr milliseconds killed_before{350};
constexpr int killed = 4;
constexpr milliseconds end_time{16'000};
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
    at_.note(trouble_ ? "with the kill of processes"
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
    at_.data.put("op/config", configuration_text(3, "chime", idle_timeout_ms,
                                                 "", warmup_per_s));
    at_.world.beat(heartbeat);
    at_.start_all();
    at_.when_ready([this] { begin(); });
    return at_.run();
  }

 private:
  void begin() {
    at_.note("all machines are in rotation");
    const auto taken_back = evacuated_at + evacuated_for;
    at_.loop.after(evacuated_at, [this] {
      at_.note("op/evacuate/hartford is written");
      at_.data.put("op/evacuate/hartford", "{}");
    });
    at_.loop.after(taken_back - cold_before, [this] {
      at_.note("the backends of hartford become cold");
      for (const auto& each : at_.world.backends) {
        if (each->zone == "hartford") {
          each->cold_until = clock::now() + warmup;
        }
      }
    });
    if (trouble_) {
      at_.loop.after(taken_back - killed_before, [this] {
        for (int i = 0; i < killed; ++i) {
          const auto& which = *at_.fleet.all()[i];
          at_.note("SIGKILL to " + which.name);
          at_.fleet.send_signal(which, SIGKILL);
        }
      });
    }
    at_.loop.after(taken_back, [this] {
      at_.note("op/evacuate/hartford is removed");
      at_.data.remove("op/evacuate/hartford");
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
    at_.world.open_flow(places[zone].zone,
                        ip_of("127.100.0." + std::to_string(zone + 1)), port,
                        ip_of(service_address), service_port);
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
