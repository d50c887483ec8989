#pragma once

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "world.h"

/// The layout and the traffic of sites/ledgerwood-belfry.toml, with held flows
/// beside the flows that carry one request each.
namespace review {

struct zone_layout {
  const char* name;
  int machines;
  int chime_backends;
  int archive_backends;
};

constexpr zone_layout layout[] = {
    {"hartford", 3, 5, 2}, {"worcester", 3, 5, 1}, {"portsmouth", 2, 4, 1}};

constexpr std::size_t request_bytes = 300;

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void lay_out(world& w) {
  for (const auto& zone : layout) {
    for (int i = 0; i < zone.machines; ++i) {
      w.add_node(zone.name);
    }
    for (int i = 0; i < zone.chime_backends; ++i) {
      w.add_backend("chime", zone.name);
    }
    for (int i = 0; i < zone.archive_backends; ++i) {
      w.add_backend("archive", zone.name);
    }
  }
  w.write_config();
  for (const auto& each : w.backends) {
    w.write_entry(each);
  }
  for (auto& each : w.nodes) {
    w.start(each);
  }
}

inline std::string any_zone(world& w) { return layout[w.random() % 3].name; }

/// Clients that open a flow for each request, until `end_s`.
inline void start_short_flows(world& w, double per_second, double end_s) {
  if (w.now_s() > end_s) {
    return;
  }
  auto flow = std::make_shared<std::shared_ptr<client_flow>>();
  *flow = w.open_flow(any_zone(w), w.random() % 15 ? "chime" : "archive",
                      [&w, flow](client_flow&) {
                        w.request(*flow, request_bytes, true,
                                  [&w, flow](auto&, auto&) { w.close(*flow); });
                      });
  const double wait = -std::log((w.random() % 10'000 + 1) / 10'001.0);
  w.after(std::chrono::microseconds(static_cast<long>(wait / per_second * 1e6)),
          [&w, per_second, end_s] { start_short_flows(w, per_second, end_s); });
}

/// Clients that keep a flow open and send a request on it from time to time.
inline void use_held_flow(world& w, std::shared_ptr<client_flow> flow,
                          int least_pause_ms, int most_pause_ms) {
  if (flow->closed) {
    return;
  }
  if (flow->on_answer == nullptr) {
    w.request(flow, request_bytes, true, [](auto&, auto&) {});
  }
  w.after(ms(least_pause_ms +
             static_cast<int>(w.random() % (most_pause_ms - least_pause_ms))),
          [&w, flow, least_pause_ms, most_pause_ms] {
            use_held_flow(w, flow, least_pause_ms, most_pause_ms);
          });
}

inline void open_held_flows(world& w, int count, ms gap,
                            std::vector<std::shared_ptr<client_flow>>& held) {
  for (int i = 0; i < count; ++i) {
    w.after(gap * i, [&w, &held] {
      auto flow = std::make_shared<std::shared_ptr<client_flow>>();
      *flow = w.open_flow(any_zone(w), "chime", [&w, flow](client_flow&) {
        use_held_flow(w, *flow, 8'000, 12'000);
      });
      held.push_back(*flow);
    });
  }
}

/// Held flows without a request, by the machine and the backend that carry
/// them.
inline std::map<std::pair<node*, backend*>,
                std::vector<std::shared_ptr<client_flow>>>
idle_flows(world& w, const std::vector<std::shared_ptr<client_flow>>& held) {
  std::map<std::pair<node*, backend*>,
           std::vector<std::shared_ptr<client_flow>>>
      by;
  for (const auto& each : held) {
    if (each->open && !each->closed && each->owner != nullptr &&
        each->on_answer == nullptr) {
      by[{w.route(each->zone, each->key), each->owner}].push_back(each);
    }
  }
  return by;
}

/// Whether every machine is in rotation and every process runs.
inline bool is_complete(world& w) {
  bool complete = true;
  for (auto& each : w.nodes) {
    complete = complete && each.ready && !w.has_ended(each);
  }
  return complete;
}

inline int finish(world& w, bool could_run) {
  char line[200];
  std::snprintf(line, sizeof line,
                "datagrams %llu, lost %llu, requests %zu, rule broken %d times",
                static_cast<unsigned long long>(w.datagrams),
                static_cast<unsigned long long>(w.lost), w.sent_ids.size(),
                w.broken);
  w.record(line);
  std::cout << line << std::endl;
  return !could_run ? 2 : w.broken > 0 ? 1 : 0;
}

}  // namespace review
