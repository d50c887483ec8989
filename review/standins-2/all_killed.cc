// Case 9: all processes are killed as a zone is taken back whose backends are
// cold.
#include <signal.h>

#include "deployment.h"

namespace review {
namespace {

constexpr double first_round_s = 12;
constexpr double end_s = 62;
/// As in the sheet: 400 requests a second, a flow each.
constexpr double flows_per_second = 400;
constexpr ms round_interval{15'000};
constexpr ms evacuated{8000};
/// Before the zone is taken back.
constexpr ms cold_before{300};
constexpr ms killed_before{350};
constexpr ms restart_delay{400};
constexpr ms cold{2000};
constexpr int heartbeat_ms = 1200;
/// WarmupPerS x ColdOver + ColdSlack.
constexpr std::size_t most_in_a_second = 12;

struct scenario {
  world& w;
  bool trouble;
  std::size_t rounds = 0;
  std::map<const backend*, moment> cold_until;
  std::map<const backend*, std::deque<moment>> opened;
  std::map<const backend*, std::size_t> most;

  // Counts the openings that were sent and arrived inside one second.
  void count(const backend& at, const backend::flow& flow) {
    const auto found = cold_until.find(&at);
    if (found == cold_until.end() || flow.opening_arrived >= found->second ||
        flow.opening_arrived < found->second - cold ||
        flow.opening_arrived - flow.opening_sent > ms(1000)) {
      return;
    }
    auto& times = opened[&at];
    times.push_back(flow.opening_arrived);
    while (times.back() - times.front() >= ms(1000)) {
      times.pop_front();
    }
    most[&at] = std::max(most[&at], times.size());
    if (times.size() > most_in_a_second) {
      w.fail("FAILBACK", at.id + " is cold and got " +
                             std::to_string(times.size()) +
                             " flows in one second");
    }
  }

  void round() {
    if (w.now_s() > end_s - 13) {
      return;
    }
    const std::string zone = layout[rounds++ % 3].name;
    w.record("evacuate " + zone);
    w.store.write("op/evacuate/" + zone, "{}");
    w.after(evacuated - killed_before, [this] { kill_all(); });
    w.after(evacuated - cold_before, [this, zone] { make_cold(zone); });
    w.after(evacuated, [this, zone] {
      w.record("take back " + zone);
      w.store.remove("op/evacuate/" + zone);
    });
    w.after(round_interval, [this] { round(); });
  }

  void kill_all() {
    if (!trouble) {
      return;
    }
    for (auto& each : w.nodes) {
      w.send_signal(each, SIGKILL);
    }
    w.after(restart_delay, [this] {
      for (auto& each : w.nodes) {
        w.has_ended(each);
        w.start(each);
      }
    });
  }

  // Each backend's next entry says so.
  void make_cold(const std::string& zone) {
    for (auto& each : w.backends) {
      if (each.zone != zone || each.service != "chime") {
        continue;
      }
      cold_until[&each] = std::chrono::steady_clock::now() + cold;
      opened[&each].clear();
      const int wait = static_cast<int>(w.random() % heartbeat_ms);
      w.after(ms(wait), [this, &each, wait] {
        w.write_entry(each, static_cast<int>(cold.count()) - wait);
      });
      w.after(ms(wait + heartbeat_ms), [this, &each, wait] {
        w.write_entry(each, std::max(0, static_cast<int>(cold.count()) - wait -
                                            heartbeat_ms));
      });
      w.after(ms(wait + 2 * heartbeat_ms),
              [this, &each] { w.write_entry(each); });
    }
  }
};

}  // namespace

int run(char** words) {
  asio::io_context io;
  world w(io, words[1], words[2]);
  scenario all{w, has_trouble(), 0, {}, {}, {}};
  lay_out(w);
  w.on_opened = [&](backend& at, const backend::flow& flow) {
    all.count(at, flow);
  };
  bool complete = false;
  w.after(ms(4000), [&] { start_short_flows(w, flows_per_second, end_s - 2); });
  w.after(ms(static_cast<int>(first_round_s * 1000)), [&] {
    complete = is_complete(w);
    all.round();
  });
  io.run_for(std::chrono::milliseconds(static_cast<int>(end_s * 1000)));
  for (const auto& [each, count] : all.most) {
    w.record("most flows in one second at cold " + each->id + ": " +
             std::to_string(count));
  }
  return finish(w, complete && is_complete(w));
}

}  // namespace review

int main(int /*count*/, char** words) { return review::run(words); }
