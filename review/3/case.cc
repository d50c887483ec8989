// Routes are added while the machines are restarted in turn; clients use each
// route as soon as the store has acknowledged it.

#include <csignal>
#include <cstdio>

#include "../standins/deployment.h"

namespace review {
namespace {

constexpr int idle_routes = 110;
constexpr int idle_timeout_ms = 15'000;
constexpr int flows_per_route = 60;
/// A storm of changes: its length and the time between two changes.
constexpr milliseconds storm_time{4000};
constexpr milliseconds storm_gap{330};
constexpr milliseconds storm_pause{500};
constexpr milliseconds request_gap{50};
constexpr int requests_per_flow = 30;
/// Stale reads may be seconds old.
constexpr milliseconds stale_lag{1000};
constexpr milliseconds roll_begins{1000};
constexpr milliseconds changes_end{52'000};
constexpr milliseconds end_time{56'000};

const std::vector<std::string> zones{"hartford", "worcester", "portsmouth"};

class scenario {
 public:
  scenario(const std::string& record, bool trouble)
      : at_(record), trouble_(trouble) {}

  int run() {
    at_.note(trouble_ ? "with the rolling restart" : "without the disruption");
    for (std::size_t z = 0; z < zones.size(); ++z) {
      const auto number = std::to_string(z + 1);
      at_.world.add_client("127.100.0." + number);
      for (const auto* last : {".10", ".11"}) {
        at_.fleet.add(zones[z], "127.1." + number + last);
      }
      for (const auto* last : {".20", ".21"}) {
        at_.world.add_backend("chime", zones[z], "127.50." + number + last);
      }
    }
    at_.data.stale_lag = stale_lag;
    for (int i = 0; i < idle_routes; ++i) {
      add_route("r-idle-" + std::to_string(i),
                "127.201.0." + std::to_string(1 + i));
    }
    write_configuration();
    at_.start_all();
    at_.when_ready([this] { begin(); });
    return at_.run();
  }

 private:
  void begin() {
    at_.note("all machines are in rotation");
    began_ = clock::now();
    storm();
    if (trouble_) {
      at_.loop.after(roll_begins, [this] { roll(0); });
    }
    at_.loop.after(end_time, [this] { judge(); });
  }

  void add_route(const std::string& name, const std::string& host) {
    routes_ += ",{\"Name\":\"" + name + "\",\"Host\":\"" + host +
               "\",\"Prefix\":\"/" + std::to_string(service_port) +
               "/\",\"Type\":\"idempotent\",\"TimeoutMs\":1500,\"SloMs\":300,"
               "\"Priority\":2,\"Service\":\"chime\",\"Attempts\":2}";
  }
  void write_configuration() {
    version_ += 3;
    at_.data.put("op/config", configuration_text(version_, "chime",
                                                 idle_timeout_ms, routes_));
  }

  void storm() {
    const auto until = clock::now() + storm_time;
    change(until);
  }
  void change(time_point until) {
    if (clock::now() - began_ > changes_end) {
      return;
    }
    ++added_;
    const auto host = "127.202.0." + std::to_string(added_);
    add_route("r-new-" + std::to_string(added_), host);
    write_configuration();
    added_at_[ip_of(host)] = clock::now();
    use(ip_of(host));
    if (clock::now() + storm_gap < until) {
      at_.loop.after(storm_gap, [this, until] { change(until); });
    } else {
      at_.loop.after(storm_pause, [this] { storm(); });
    }
  }

  void use(std::uint32_t host) {
    for (int i = 0; i < flows_per_route; ++i) {
      const auto zone = i % zones.size();
      auto& flow = at_.world.open_flow(
          zones[zone], ip_of("127.100.0." + std::to_string(zone + 1)),
          ++next_port_, host, service_port);
      ask_later(flow, requests_per_flow);
    }
  }
  void ask_later(client_flow& flow, int left) {
    if (left > 0) {
      at_.loop.after(request_gap, [this, &flow, left] {
        at_.world.ask(flow);
        ask_later(flow, left - 1);
      });
    }
  }

  void roll(std::size_t position) {
    if (clock::now() - began_ > changes_end) {
      at_.note("the rolling restarts are over");
      return;
    }
    auto& which = *at_.fleet.all()[position % at_.fleet.all().size()];
    at_.note("SIGTERM to " + which.name);
    at_.fleet.terminate(which);
    wait_back(position, which.starts);
  }
  void wait_back(std::size_t position, std::uint64_t starts) {
    at_.loop.after(milliseconds(50), [this, position, starts] {
      const auto& which = *at_.fleet.all()[position % at_.fleet.all().size()];
      if (which.starts > starts && which.in_rotation) {
        roll(position + 1);
      } else {
        wait_back(position, starts);
      }
    });
  }

  void judge() {
    int asked = 0;
    int answered = 0;
    for (const auto& [key, flow] : at_.world.flows) {
      asked += flow->asked;
      answered += flow->answered;
    }
    int foreign = 0;
    for (const auto& each : at_.world.resets) {
      const bool is_foreign =
          !each.holder.empty() && each.sender != "backend " + each.holder;
      foreign += is_foreign ? 1 : 0;
      const std::chrono::duration<double> age =
          each.at - added_at_[each.flow.service];
      const std::chrono::duration<double> when = each.at - began_;
      at_.note("at " + std::to_string(when.count()) + " s: open flow " +
               text_of(each.flow) + ", " + std::to_string(age.count()) +
               " s after its route was acknowledged: the client got a reset "
               "of " +
               each.sender + "; the flow's backend " + each.holder +
               " lives and sent none");
    }
    at_.note("routes added: " + std::to_string(added_) +
             "; flows: " + std::to_string(at_.world.flows.size()) +
             "; requests sent: " + std::to_string(asked) +
             ", answered: " + std::to_string(answered));
    at_.note("open flows reset by others than their backend: " +
             std::to_string(foreign));
    if (asked < 1000 || at_.fleet.own_ends > 0) {
      at_.note("not judged: few requests, or a process ended by itself");
      at_.finish(not_run);
      return;
    }
    at_.finish(foreign > 0 ? rule_broken : rule_held);
  }

  deployment at_;
  bool trouble_;
  std::string routes_;
  int version_ = 0;
  int added_ = 0;
  std::uint16_t next_port_ = 20000;
  time_point began_;
  std::map<std::uint32_t, time_point> added_at_;
};

}  // namespace
}  // namespace review

int main(int, char** words) {
  signal(SIGPIPE, SIG_IGN);
  return review::scenario(words[1], review::deployment::has_trouble()).run();
}
