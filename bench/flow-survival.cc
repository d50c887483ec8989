// Counts the flows that a change breaks for each method of keeping flows on
// their upstreams, and the cost of each method. Prints one line per figure:
// figure=<name> value=<number> unit=<unit> target=<number> ok|short
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/flows/flow_table.h"
#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum {
namespace {

constexpr std::uint32_t balancers = 8;
constexpr std::uint32_t upstreams = 14;
constexpr std::uint32_t services = 16;
constexpr std::uint64_t flows = 300'000;
constexpr std::uint64_t new_flows_per_second = std::uint64_t{3000} * balancers;
constexpr int later_packets = 3;
constexpr double echo_share = 0.5;

struct flow_state {
  flow_key key;
  std::uint32_t upstream = 0;
  bool echoes = false;
};

void print(const std::string& name, double value, const char* unit,
           double target) {
  std::printf("figure=%s value=%.4f unit=%s target=%.4f %s\n", name.c_str(),
              value, unit, target, value <= target ? "ok" : "short");
}

double percent(std::uint64_t part) {
  return 100.0 * static_cast<double>(part) / static_cast<double>(flows);
}

std::vector<balancer_id> member_ids(std::uint32_t count,
                                    std::uint32_t without) {
  std::vector<balancer_id> ids;
  for (std::uint32_t id = 0; id < count; ++id) {
    if (id != without) {
      ids.push_back(balancer_id(id));
    }
  }
  return ids;
}
constexpr std::uint32_t no_member = ~0U;

/// Returns the member that rendezvous hashing chooses for a flow.
std::uint32_t hashed_member(const flow_key& key,
                            std::span<const balancer_id> among) {
  return value_of(*rendezvous_first(std::hash<flow_key>{}(key), among));
}

std::vector<flow_state> make_flows(std::mt19937_64& random) {
  std::vector<flow_state> all(flows);
  std::uint64_t number = 0;
  for (flow_state& f : all) {
    f.key = {caller_id(static_cast<std::uint32_t>(random() % 50)),
             service_id(static_cast<std::uint32_t>(number % services)),
             flow_id(random())};
    f.upstream = static_cast<std::uint32_t>(number / services % upstreams);
    f.echoes = static_cast<double>(random() % 1000) < 1000 * echo_share;
    ++number;
  }
  return all;
}

std::uint64_t moved(const std::vector<flow_state>& all,
                    std::span<const balancer_id> before,
                    std::span<const balancer_id> after) {
  return static_cast<std::uint64_t>(
      std::count_if(all.begin(), all.end(), [&](const flow_state& f) {
        return hashed_member(f.key, before) != hashed_member(f.key, after);
      }));
}

/// Flows of a killed upstream are lost with every method and not counted.
void print_hashing(const std::vector<flow_state>& all) {
  const auto before = member_ids(upstreams, no_member);
  print("hashing_upstream_added",
        percent(moved(all, before, member_ids(upstreams + 1, no_member))),
        "percent", 0);
  print("hashing_upstream_drained",
        percent(moved(all, before, member_ids(upstreams, 3))), "percent", 0);
  print("hashing_upstream_killed", 0, "percent", 0);
  print("hashing_balancer_added", 0, "percent", 0);
  print("hashing_balancer_drained", 0, "percent", 0);
  print("hashing_balancer_killed", 0, "percent", 0.1);
  print("hashing_copies_per_balancer", 0, "bytes/s", 4096);
  print("hashing_memory", 0, "bytes/flow", 32);
}

/// One balancer holds each binding; the others forward packets to it.
void print_holder(const std::vector<flow_state>& all, double bytes_per_flow) {
  const auto before = member_ids(balancers, no_member);
  for (const char* change : {"added", "drained", "killed"}) {
    print(std::string("holder_upstream_") + change, 0, "percent", 0);
  }
  // Bindings whose holder changes are not handed over.
  print("holder_balancer_added",
        percent(moved(all, before, member_ids(balancers + 1, no_member))),
        "percent", 0);
  const auto killed = percent(moved(all, before, member_ids(balancers, 3)));
  print("holder_balancer_drained", killed, "percent", 0);
  print("holder_balancer_killed", killed, "percent", 0.1);
  print("holder_copies_per_balancer", 0, "bytes/s", 4096);
  print("holder_memory", bytes_per_flow, "bytes/flow", 32);
  print("holder_forwarded_packets", 100.0 * (balancers - 1) / balancers,
        "percent", 0);
}

/// Each balancer knows the hash and, as fingerprints, all flows that deviate
/// from it because they were placed by load or before a change.
void print_generations(const std::vector<flow_state>& all) {
  const auto among = member_ids(upstreams, no_member);
  std::map<std::pair<service_id, std::uint32_t>, std::uint32_t> tracked;
  std::uint64_t deviating = 0;
  std::uint64_t collided = 0;
  for (const flow_state& f : all) {
    if (hashed_member(f.key, among) == f.upstream) {
      continue;
    }
    ++deviating;
    const auto [known, is_new] = tracked.try_emplace(
        {f.key.service, flow_table::fingerprint(f.key)}, f.upstream);
    collided += !is_new && known->second != f.upstream ? 1 : 0;
  }
  // A flow that does not deviate breaks if its fingerprint equals that of a
  // deviating flow with another upstream.
  for (const flow_state& f : all) {
    const auto found =
        tracked.find({f.key.service, flow_table::fingerprint(f.key)});
    collided += hashed_member(f.key, among) == f.upstream &&
                        found != tracked.end() && found->second != f.upstream
                    ? 1
                    : 0;
  }
  for (const char* change :
       {"upstream_added", "upstream_drained", "upstream_killed",
        "balancer_added", "balancer_drained", "balancer_killed"}) {
    print(std::string("generations_") + change, percent(collided), "percent",
          std::string_view(change) == "balancer_killed" ? 0.1 : 0);
  }
  const double share = static_cast<double>(deviating) / flows;
  // 6 bytes to each of the other balancers, without framing.
  print("generations_copies_per_balancer",
        share * 6 * (balancers - 1) * new_flows_per_second / balancers,
        "bytes/s", 4096);
  print("generations_memory", share * 6 * balancers, "bytes/flow", 32);
}

/// Tokens, and flow tables for the callers that do not echo tokens.
class token_cell {
 public:
  explicit token_cell(std::mt19937_64& random) : random_(random) {
    for (std::uint32_t s = 0; s < services; ++s) {
      service listed;
      listed.id = service_id(s);
      for (std::uint32_t u = 0; u < upstreams; ++u) {
        upstream one;
        one.id = upstream_id(1 + u);
        listed.upstreams.push_back(one);
      }
      configuration_.services[listed.id] = listed;
    }
    tables_ = std::vector<flow_table>(balancers);
  }

  std::uint32_t decider(service_id service, std::uint32_t dead) const {
    return value_of(*rendezvous_first(value_of(shard_of(service)),
                                      member_ids(balancers, dead)));
  }
  void open(const flow_state& f) {
    const auto entry = static_cast<std::uint32_t>(random_() % balancers);
    const auto decides = decider(f.key.service, no_member);
    const upstream_run to{upstream_id(1 + f.upstream), incarnation(1)};
    tables_[decides].bind(f.key, to, entry == decides, now);
    if (entry != decides && !f.echoes) {
      tables_[entry].bind(f.key, to, false, now);
    }
  }
  void packet_at(const flow_state& f, std::uint32_t entry) {
    if (f.echoes || tables_[entry].find(f.key, now)) {
      return;
    }
    if (const auto bound =
            tables_[decider(f.key.service, no_member)].find(f.key, now)) {
      tables_[entry].bind(f.key, *bound, false, now);
    }
  }
  /// Sends the due copies of each balancer to the next balancer.
  void copy() {
    for (std::uint32_t from = 0; from < balancers; ++from) {
      for (const auto& batch : tables_[from].take_copies(configuration_, now)) {
        copied_bytes += encode(peer_message{{}, {}, 0, batch}).size();
        tables_[(from + 1) % balancers].on_copy(batch, configuration_, now);
      }
    }
  }
  /// Whether a packet finds its upstream by the token or in the first table
  /// that knows the flow, without the table of balancer `dead`.
  bool survives(const flow_state& f, std::uint32_t dead) {
    if (f.echoes) {
      return true;
    }
    const upstream_id home{1 + f.upstream};
    for (std::uint32_t at = 0; at < balancers; ++at) {
      if (at == dead) {
        continue;
      }
      if (const auto found = tables_[at].find(f.key, now)) {
        return found->id == home;
      }
    }
    return false;
  }

  time_point now{seconds(1000)};
  std::uint64_t copied_bytes = 0;
  std::vector<flow_table>& tables() { return tables_; }

 private:
  std::mt19937_64& random_;
  configuration configuration_;
  std::vector<flow_table> tables_;
};

void print_tokens(const std::vector<flow_state>& all, std::mt19937_64& random) {
  token_cell cell(random);
  const time_point begin = cell.now;
  const duration step(1'000'000 / new_flows_per_second);
  std::uint64_t opened = 0;
  for (const flow_state& f : all) {
    cell.now += step;
    cell.open(f);
    // Sends packets of flows that opened up to one second ago.
    for (int i = 0; i < later_packets; ++i) {
      const auto back = random() % std::min(opened + 1, new_flows_per_second);
      cell.packet_at(all[opened - back],
                     static_cast<std::uint32_t>(random() % balancers));
    }
    ++opened;
    if (opened % (new_flows_per_second / 100) == 0) {
      cell.copy();
    }
  }
  const double seconds_passed =
      std::chrono::duration<double>(cell.now - begin).count();
  const auto broken = [&](std::uint32_t dead) {
    return static_cast<std::uint64_t>(std::count_if(
        all.begin(), all.end(),
        [&](const flow_state& f) { return !cell.survives(f, dead); }));
  };
  const double alive = percent(broken(no_member));
  for (const char* change : {"upstream_added", "upstream_drained",
                             "upstream_killed", "balancer_added"}) {
    print(std::string("tokens_") + change, alive, "percent", 0);
  }
  std::uint64_t worst = 0;
  for (std::uint32_t dead = 0; dead < balancers; ++dead) {
    worst = std::max(worst, broken(dead));
  }
  const double killed = percent(worst);
  cell.now += milliseconds(100);
  cell.copy();
  worst = 0;
  for (std::uint32_t dead = 0; dead < balancers; ++dead) {
    worst = std::max(worst, broken(dead));
  }
  print("tokens_balancer_drained", percent(worst), "percent", 0);
  print("tokens_balancer_killed", killed, "percent", 0.1);
  print("tokens_copies_per_balancer",
        static_cast<double>(cell.copied_bytes) / seconds_passed / balancers,
        "bytes/s", 4096);
}

double measured_bytes_per_flow(const std::vector<flow_state>& all) {
  flow_table table;
  for (const flow_state& f : all) {
    table.bind(f.key, {upstream_id(1 + f.upstream), incarnation(1)}, false,
               time_point(seconds(1000)));
  }
  return static_cast<double>(table.memory_bytes()) / flows;
}

}  // namespace
}  // namespace rosemarydrum

int main() {
  std::mt19937_64 random(1);
  const auto all = rosemarydrum::make_flows(random);
  const double bytes_per_flow = rosemarydrum::measured_bytes_per_flow(all);
  rosemarydrum::print_hashing(all);
  rosemarydrum::print_holder(all, bytes_per_flow);
  rosemarydrum::print_generations(all);
  rosemarydrum::print_tokens(all, random);
  rosemarydrum::print("tokens_memory", bytes_per_flow, "bytes/flow", 32);
}
