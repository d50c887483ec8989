// Case 6: a machine resets flows that it carried only while another one was
// restarted, and requests that must run at most once are running on them.
#include <signal.h>

#include <algorithm>

#include "deployment.h"

namespace review {
namespace {

constexpr double first_round_s = 16;
constexpr double end_s = 90;
constexpr double short_flows_per_second = 40;
constexpr int held_flows = 300;
constexpr int least_pause_ms = 3'000;
constexpr int most_pause_ms = 5'000;
constexpr ms round_interval{16'000};
constexpr ms restart_delay{300};
constexpr ms check_interval{100};
/// From the start of the process to the losses.
constexpr ms after_start{5'500};
/// Work of the requests concerned. The site file has 72 for corrections on
/// average, 430 at most.
constexpr int their_work_ms = 300;
/// From the two requests to those on the flows that have moved back.
constexpr ms later{200};

struct scenario {
  world& w;
  bool trouble;
  std::vector<std::shared_ptr<client_flow>> held;
  std::set<std::string> longer;
  std::set<std::string> to_lose;
  std::size_t rounds = 0;

  void ask(const std::shared_ptr<client_flow>& flow, bool loses) {
    if (flow->closed || flow->on_answer != nullptr) {
      return;
    }
    w.request(flow, request_bytes, false, [](auto&, auto&) {});
    longer.insert(flow->request_id);
    if (loses && trouble) {
      to_lose.insert(flow->request_id);
    }
  }

  // A planned restart of one machine of a zone that has three.
  void round() {
    if (w.now_s() > end_s - 15) {
      return;
    }
    auto& each = w.nodes[rounds++ % 6];
    if (trouble) {
      w.send_signal(each, SIGTERM);
      restart_when_ended(each);
    } else {
      w.after(ms(3000) + after_start, [this, &each] { lose(each); });
    }
    w.after(round_interval, [this] { round(); });
  }

  void restart_when_ended(node& each) {
    w.after(check_interval, [this, &each] {
      if (!w.has_ended(each)) {
        restart_when_ended(each);
        return;
      }
      w.after(restart_delay, [this, &each] {
        w.start(each);
        w.after(after_start, [this, &each] { lose(each); });
      });
    });
  }

  // Another machine of the zone loses two datagrams to the backend with the
  // most flows that have moved back.
  void lose(node& restarted) {
    auto by = idle_flows(w, held);
    std::pair<node*, backend*> chosen;
    std::vector<std::shared_ptr<client_flow>> moved;
    for (const auto& [place, flows] : by) {
      const auto back = by.find({&restarted, place.second});
      if (place.first == &restarted || place.first->zone != restarted.zone ||
          flows.size() < 2 || back == by.end()) {
        continue;
      }
      std::vector<std::shared_ptr<client_flow>> found;
      for (const auto& each : back->second) {
        if (each->carriers.contains(place.first)) {
          found.push_back(each);
        }
      }
      if (found.size() > moved.size()) {
        moved = found;
        chosen = place;
      }
    }
    if (moved.empty()) {
      w.record("round: no flow has moved back");
      return;
    }
    const auto flows = by[chosen];
    w.record("round: " + chosen.first->name + " loses two requests to " +
             chosen.second->id + "; flows that moved back to " +
             restarted.name + ": " + std::to_string(moved.size()));
    ask(flows[0], true);
    w.after(ms(20), [this, flow = flows[1]] { ask(flow, true); });
    w.after(later, [this, moved] {
      for (const auto& each : moved) {
        ask(each, false);
      }
    });
  }
};

}  // namespace

int run(char** words) {
  asio::io_context io;
  world w(io, words[1], words[2]);
  scenario all{w, has_trouble(), {}, {}, {}, 0};
  w.route_type = "non_idempotent";
  lay_out(w);
  w.work = [&](const std::string& id) {
    return all.longer.contains(id) ? their_work_ms : 55;
  };
  w.answer_bytes = [](const std::string&) { return std::size_t{600}; };
  w.loses = [&](const packet& each, const node*, backend&) {
    return !each.data.empty() &&
           all.to_lose.erase(each.data.substr(0, each.data.find('\r'))) > 0;
  };
  bool complete = false;
  w.after(ms(3000), [&] {
    for (int i = 0; i < held_flows; ++i) {
      w.after(ms(25) * i, [&] {
        auto flow = std::make_shared<std::shared_ptr<client_flow>>();
        *flow = w.open_flow(any_zone(w), "chime", [&w, flow](client_flow&) {
          use_held_flow(w, *flow, least_pause_ms, most_pause_ms);
        });
        all.held.push_back(*flow);
      });
    }
  });
  w.after(ms(3000),
          [&] { start_short_flows(w, short_flows_per_second, end_s - 2); });
  w.after(ms(static_cast<int>(first_round_s * 1000)), [&] {
    complete = is_complete(w);
    all.round();
  });
  io.run_for(std::chrono::milliseconds(static_cast<int>(end_s * 1000)));
  return finish(w, complete && is_complete(w) && w.lost * 2000 <= w.datagrams);
}

}  // namespace review

int main(int /*count*/, char** words) { return review::run(words); }
