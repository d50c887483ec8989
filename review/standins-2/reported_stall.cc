// Case 7: from time to time each of two machines loses the first transmission
// of one request to the same backend, which goes on answering others.
#include <algorithm>

#include "deployment.h"

namespace review {
namespace {

constexpr double first_round_s = 16;
constexpr double end_s = 60;
constexpr double short_flows_per_second = 60;
constexpr int held_flows = 240;
constexpr ms round_interval{2500};
/// Work of the two requests. The site file has 55 on average, 330 at most.
constexpr int their_work_ms = 200;

struct scenario {
  world& w;
  bool trouble;
  std::vector<std::shared_ptr<client_flow>> held;
  std::set<std::string> longer;
  std::set<std::string> to_lose;
  std::size_t rounds = 0;

  void ask(const std::shared_ptr<client_flow>& flow, bool is_hit) {
    if (flow->closed || flow->on_answer != nullptr) {
      return;
    }
    w.request(flow, request_bytes, true, [](auto&, auto&) {});
    if (is_hit) {
      longer.insert(flow->request_id);
      if (trouble) {
        to_lose.insert(flow->request_id);
      }
    }
  }

  void round() {
    if (w.now_s() > end_s - 4) {
      return;
    }
    const auto by = idle_flows(w, held);
    const auto& zone = layout[rounds++ % 3].name;
    // The backend and the two machines of the zone with the most idle flows.
    const std::vector<std::shared_ptr<client_flow>>* best[2] = {};
    std::pair<node*, backend*> names[2];
    std::size_t most = 0;
    for (const auto& [left, first] : by) {
      for (const auto& [right, second] : by) {
        if (left.first != right.first && left.second == right.second &&
            left.first->zone == zone && right.first->zone == zone &&
            first.size() >= 3 && first.size() + second.size() > most) {
          most = first.size() + second.size();
          best[0] = &first;
          best[1] = &second;
          names[0] = left;
          names[1] = right;
        }
      }
    }
    if (most > 0) {
      w.record("round: " + names[0].first->name + " and " +
               names[1].first->name + " lose a request to " +
               names[0].second->id);
      ask((*best[0])[0], true);
      // The backend goes on answering clients of the first machine.
      for (int i = 1; i < 3; ++i) {
        w.after(ms(80 * i), [this, flow = (*best[0])[i]] { ask(flow, false); });
      }
      w.after(ms(300), [this, flow = (*best[1])[0]] { ask(flow, true); });
    }
    w.after(round_interval, [this] { round(); });
  }
};

}  // namespace

int run(char** words) {
  asio::io_context io;
  world w(io, words[1], words[2]);
  scenario all{w, has_trouble(), {}, {}, {}, 0};
  lay_out(w);
  w.work = [&](const std::string& id) {
    return all.longer.contains(id) ? their_work_ms : 55;
  };
  w.loses = [&](const packet& each, const node*, backend&) {
    return !each.data.empty() &&
           all.to_lose.erase(each.data.substr(0, each.data.find('\r'))) > 0;
  };
  bool complete = false;
  w.after(ms(3000), [&] { open_held_flows(w, held_flows, ms(30), all.held); });
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
