// Case 8: of all datagrams, two are lost every three seconds: the first
// transmissions of two requests on two flows of one machine to one backend.
#include <algorithm>

#include "deployment.h"

namespace review {
namespace {

constexpr double first_round_s = 16;
constexpr double end_s = 50;
constexpr double short_flows_per_second = 60;
constexpr int held_flows = 240;
constexpr ms round_interval{3000};
/// Work of the two requests. The site file has 55 on average, 330 at most.
constexpr int their_work_ms = 200;

struct scenario {
  world& w;
  bool trouble;
  std::vector<std::shared_ptr<client_flow>> held;
  std::set<std::string> longer;
  std::set<std::string> to_lose;
  std::size_t rounds = 0;

  void ask(const std::shared_ptr<client_flow>& flow) {
    if (flow->closed || flow->on_answer != nullptr) {
      return;
    }
    w.request(flow, request_bytes, true, [](auto&, auto&) {});
    longer.insert(flow->request_id);
    if (trouble) {
      to_lose.insert(flow->request_id);
    }
  }

  void round() {
    if (w.now_s() > end_s - 4) {
      return;
    }
    // Another machine in each round.
    auto by = idle_flows(w, held);
    const auto* machine = &w.nodes[rounds++ % w.nodes.size()];
    std::erase_if(by, [&](const auto& entry) {
      return entry.first.first != machine || entry.second.size() < 2;
    });
    const auto most = std::max_element(
        by.begin(), by.end(), [](const auto& left, const auto& right) {
          return left.second.size() < right.second.size();
        });
    if (most != by.end()) {
      w.record("round: " + std::to_string(most->second.size()) +
               " idle flows of " + most->first.first->name + " at " +
               most->first.second->id);
      ask(most->second[0]);
      w.after(ms(20), [this, flow = most->second[1]] { ask(flow); });
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
