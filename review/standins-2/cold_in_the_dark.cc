// Case 10: backends crash and start again, cold and under the ids that they
// had, while the store is down.
#include "deployment.h"

namespace review {
namespace {

constexpr double first_round_s = 14;
constexpr double end_s = 62;
/// As in the sheet: 400 requests a second, a flow each.
constexpr double flows_per_second = 400;
constexpr ms round_interval{11'000};
constexpr ms store_down{4500};
constexpr ms down_before_crash{500};
constexpr ms crashed{300};
constexpr ms cold{2000};
/// Of 14 backends (`share = 0.14`).
constexpr int crashes = 2;
/// WarmupPerS x ColdOver + ColdSlack.
constexpr std::size_t most_in_a_second = 12;

struct scenario {
  world& w;
  bool trouble;
  std::map<const backend*, moment> cold_until;
  std::map<const backend*, std::deque<moment>> opened;
  std::map<const backend*, std::size_t> most;

  // Counts the openings that were sent and arrived inside one second.
  void count(const backend& at, const backend::flow& flow) {
    const auto found = cold_until.find(&at);
    if (found == cold_until.end() || flow.opening_arrived >= found->second ||
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
    if (w.now_s() > end_s - 10) {
      return;
    }
    if (trouble) {
      w.record("the store is down");
      w.store.busy = true;
    }
    w.after(store_down, [this] {
      w.record("the store is back");
      w.store.busy = false;
    });
    std::vector<backend*> chosen;
    while (chosen.size() < crashes) {
      auto* each = &w.backends[w.random() % w.backends.size()];
      if (each->service == "chime" &&
          std::find(chosen.begin(), chosen.end(), each) == chosen.end()) {
        chosen.push_back(each);
      }
    }
    for (auto* each : chosen) {
      w.after(down_before_crash, [this, each] { w.crash(*each); });
      w.after(down_before_crash + crashed, [this, each] { start(*each); });
    }
    w.after(round_interval, [this] { round(); });
  }

  void start(backend& each) {
    w.restart(each);
    cold_until[&each] = std::chrono::steady_clock::now() + cold;
    opened[&each].clear();
    const auto until = cold_until[&each];
    // It writes its entry at its start, or as soon as the store is back.
    w.after(ms(0), [this, &each, until] { write(each, until); });
    w.after(cold, [this, &each, until] { write(each, until); });
  }

  void write(backend& each, moment until) {
    if (w.store.busy) {
      w.after(ms(100), [this, &each, until] { write(each, until); });
      return;
    }
    const auto left = std::chrono::duration_cast<ms>(
        until - std::chrono::steady_clock::now());
    w.write_entry(each, std::max<int>(0, static_cast<int>(left.count())));
  }
};

}  // namespace

int run(char** words) {
  asio::io_context io;
  world w(io, words[1], words[2]);
  scenario all{w, has_trouble(), {}, {}, {}};
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
