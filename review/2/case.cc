// Long flows, ordinary loss of datagrams, and a rolling restart of the
// machines. Prints nothing; writes to the file of its argument.

#include <csignal>
#include <cstdio>

#include "../standins/deployment.h"

namespace review {
namespace {

constexpr int flow_count = 12000;
constexpr milliseconds opening_time{8000};
/// The site file's `net.loss`.
constexpr double ordinary_loss = 0.0005;
constexpr int idle_timeout_ms = 15'000;
constexpr milliseconds roll_begins{2000};
/// From a flow's opening to its second request; less than the idle timeout.
constexpr milliseconds pause_time{14'000};
constexpr milliseconds end_time{27'000};

const std::vector<std::string> zones{"hartford", "worcester", "portsmouth"};

void roll(deployment& at, std::size_t position) {
  if (position >= at.fleet.all().size()) {
    at.note("the rolling restart is over");
    return;
  }
  auto& which = *at.fleet.all()[position];
  const auto starts = which.starts;
  at.note("SIGTERM to " + which.name);
  at.fleet.terminate(which);
  // The next one follows when this one is back.
  auto check = std::make_shared<std::function<void()>>();
  *check = [&at, &which, starts, position, check] {
    if (which.starts > starts && which.in_rotation) {
      roll(at, position + 1);
    } else {
      at.loop.after(milliseconds(50), *check);
    }
  };
  at.loop.after(milliseconds(1100), *check);
}

void open_flows(deployment& at) {
  const auto start = clock::now();
  for (int i = 0; i < flow_count; ++i) {
    at.loop.at(start + opening_time * i / flow_count, [&at, i] {
      const auto& zone = zones[i % zones.size()];
      const auto client =
          ip_of("127.100.0." + std::to_string(1 + i % zones.size()));
      const auto port = static_cast<std::uint16_t>(20000 + i / zones.size());
      auto& flow = at.world.open_flow(zone, client, port,
                                      ip_of(service_address), service_port);
      at.loop.after(pause_time, [&at, &flow] { at.world.ask(flow); });
    });
  }
}

void judge(deployment& at) {
  int open = 0;
  int asked = 0;
  int answered = 0;
  for (const auto& [key, flow] : at.world.flows) {
    open += flow->answered > 0 ? 1 : 0;
    asked += flow->asked;
    answered += flow->answered;
  }
  int foreign = 0;
  for (const auto& each : at.world.resets) {
    const bool is_foreign =
        !each.holder.empty() && each.sender != "backend " + each.holder;
    foreign += is_foreign ? 1 : 0;
    at.note("open flow " + text_of(each.flow) + ": the client got a reset of " +
            each.sender + "; the flow's backend " + each.holder +
            " lives and sent none");
  }
  at.note(
      "datagrams of clients and backends: " + std::to_string(at.world.sent) +
      ", lost: " + std::to_string(at.world.lost));
  at.note("flows with a first answer: " + std::to_string(open) + " of " +
          std::to_string(flow_count) + "; requests sent: " +
          std::to_string(asked) + ", answered: " + std::to_string(answered));
  at.note("open flows reset by others than their backend: " +
          std::to_string(foreign));
  if (open < flow_count * 9 / 10 || at.fleet.own_ends > 0) {
    at.note("not judged: too few flows opened, or a process ended by itself");
    at.finish(not_run);
    return;
  }
  at.finish(foreign > 0 ? rule_broken : rule_held);
}

int run(const std::string& record) {
  deployment at(record);
  const bool trouble = deployment::has_trouble();
  at.note(trouble ? "with the rolling restart" : "without the disruption");
  at.world.add_client("127.100.0.1");
  at.world.add_client("127.100.0.2");
  at.world.add_client("127.100.0.3");
  for (std::size_t z = 0; z < zones.size(); ++z) {
    const auto number = std::to_string(z + 1);
    for (const auto* last : {".10", ".11"}) {
      at.fleet.add(zones[z], "127.1." + number + last);
    }
    for (const auto* last : {".20", ".21"}) {
      at.world.add_backend("chime", zones[z], "127.50." + number + last);
    }
  }
  at.data.put("op/config", configuration_text(3, "chime", idle_timeout_ms));
  at.start_all();
  at.when_ready([&at, trouble] {
    at.note("all machines are in rotation");
    at.world.loss = ordinary_loss;
    open_flows(at);
    if (trouble) {
      at.loop.after(roll_begins, [&at] { roll(at, 0); });
    }
    at.loop.after(end_time, [&at] { judge(at); });
  });
  return at.run();
}

}  // namespace
}  // namespace review

int main(int, char** words) {
  signal(SIGPIPE, SIG_IGN);
  return review::run(words[1]);
}
