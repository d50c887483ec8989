#include "soak/soak_faults.h"

#include <csignal>

#include "soak/store_faults.h"

namespace rosemarydrum {
namespace {

using node_type = soak_fleet::forwarder_process;

node_type& any_node(soak_fleet& fleet) {
  return *fleet.nodes[fleet.random() % fleet.nodes.size()];
}

/// Returns an upstream that is alive and ready, or nullptr if fewer than 5 are.
fake_upstream* any_upstream(soak_fleet& fleet, const std::string& service) {
  std::vector<fake_upstream*> ready;
  for (auto& [digits, upstream] : fleet.upstreams) {
    if (upstream->alive && upstream->entry.state == "ready" &&
        upstream->entry.service == service) {
      ready.push_back(upstream.get());
    }
  }
  // Keeps at least 4 upstreams in service.
  return ready.size() < 5 ? nullptr : ready[fleet.random() % ready.size()];
}

void restart_after(soak_fleet& fleet, node_type& node, duration down) {
  fleet.kill_forwarder(node);
  fleet.checks.disturb(node.name, fleet.time.now() + down);
  fleet.time.after(down, [&fleet, &node] {
    if (!node.process) {
      fleet.start_forwarder(node);
      fleet.checks.disturb(node.name, fleet.time.now());
    }
  });
}

duration kill_one(soak_fleet& fleet) {
  const auto down = random_between(fleet, 200, 1500);
  restart_after(fleet, any_node(fleet), down);
  return down;
}

duration kill_all(soak_fleet& fleet) {
  const auto down = random_between(fleet, 200, 1000);
  for (auto& node : fleet.nodes) {
    restart_after(fleet, *node, down);
  }
  return down;
}

duration stop_as_planned(soak_fleet& fleet) {
  auto& node = any_node(fleet);
  if (!node.process || node.paused) {
    return duration(0);
  }
  node.expected_to_run = false;
  node.process->signal(SIGTERM);
  const auto grace = milliseconds(4500);
  fleet.checks.disturb(node.name, fleet.time.now() + grace);
  fleet.time.after(grace, [&fleet, &node] {
    if (node.process && !node.expected_to_run) {
      if (!node.process->wait_exit(milliseconds(0))) {
        fleet.checks.fail("GRACE", node.name + " did not stop in time");
      }
      restart_after(fleet, node, milliseconds(100));
    }
  });
  return grace;
}

duration pause_one(soak_fleet& fleet) {
  auto& node = any_node(fleet);
  if (!node.process || node.paused) {
    return duration(0);
  }
  const auto time = random_between(fleet, 300, 5000);
  node.paused = true;
  node.process->signal(SIGSTOP);
  fleet.checks.disturb(node.name, fleet.time.now() + time);
  fleet.time.after(time, [&node] {
    if (node.process) {
      node.process->signal(SIGCONT);
      node.paused = false;
    }
  });
  return time;
}

duration upstream_dies(soak_fleet& fleet) {
  auto* upstream = any_upstream(fleet, "desk");
  if (upstream == nullptr) {
    return duration(0);
  }
  const auto time = random_between(fleet, 1000, 6000);
  upstream->alive = false;
  fleet.checks.on_disturbed_upstream(upstream->id, fleet.time.now());
  fleet.time.after(milliseconds(3600), [&fleet, upstream] {
    if (!upstream->alive) {
      fleet.store.remove(platform_texts::upstream_key_of(upstream->id));
    }
  });
  fleet.time.after(time, [&fleet, upstream] {
    if (fleet.random() % 2 == 0) {
      fleet.restart_upstream(*upstream, 2000);
    } else {
      fleet.add_upstream("desk", upstream->entry.zone, 2000);
    }
  });
  return time;
}

duration upstream_leaves(soak_fleet& fleet) {
  auto* upstream = any_upstream(fleet, "desk");
  if (upstream == nullptr) {
    return duration(0);
  }
  fleet.add_upstream("desk", upstream->entry.zone, 2000);
  upstream->entry.state = "draining";
  fleet.write_entry(*upstream);
  fleet.checks.on_draining(upstream->id, fleet.time.now());
  fleet.time.after(seconds(4), [&fleet, upstream] {
    upstream->alive = false;
    fleet.checks.on_disturbed_upstream(upstream->id, fleet.time.now());
    fleet.store.remove(platform_texts::upstream_key_of(upstream->id));
  });
  return seconds(4);
}

duration entry_of_another_writer(soak_fleet& fleet) {
  auto* upstream = any_upstream(fleet, "desk");
  if (upstream == nullptr) {
    return duration(0);
  }
  fleet.store.put(platform_texts::upstream_key_of(upstream->id),
                  R"({"Service":7,"State":"odd"})");
  fleet.time.after(seconds(2),
                   [&fleet, upstream] { fleet.write_entry(*upstream); });
  return seconds(2);
}

duration change_routes(soak_fleet& fleet) {
  std::swap(fleet.first_service, fleet.second_service);
  fleet.configure();
  fleet.time.after(seconds(4), [&fleet] {
    std::swap(fleet.first_service, fleet.second_service);
    fleet.configure();
  });
  return seconds(4);
}

duration storm_of_versions(soak_fleet& fleet) {
  for (int i = 0; i < 20; ++i) {
    fleet.time.after(milliseconds(70 * i), [&fleet] { fleet.configure(); });
  }
  return milliseconds(1400);
}

duration evacuate(soak_fleet& fleet) {
  const auto centre =
      fleet.data_centres[fleet.random() % fleet.data_centres.size()];
  const auto key = platform_texts::evacuation_key(centre);
  fleet.store.put(key, "{}");
  fleet.checks.on_evacuation(centre, true, fleet.time.now());
  const auto time = random_between(fleet, 3000, 9000);
  fleet.time.after(time, [&fleet, centre, key] {
    fleet.checks.on_evacuation(centre, false, fleet.time.now());
    fleet.store.remove(key);
  });
  return time;
}

duration reload(soak_fleet& fleet) {
  auto& node = any_node(fleet);
  if (node.process) {
    node.process->signal(SIGHUP);
  }
  return duration(0);
}

constexpr soak_fault table[] = {
    {"kill_one", kill_one},
    {"kill_all", kill_all},
    {"stop_as_planned", stop_as_planned},
    {"pause_one", pause_one},
    {"store_refused", store_refused},
    {"store_silent", store_silent},
    {"store_one_way", store_one_way},
    {"store_slow", store_slow},
    {"silence_connections", silence_connections},
    {"deaf_watches", deaf_watches},
    {"old_stale_reads", old_stale_reads},
    {"lapse", lapse},
    {"upstream_dies", upstream_dies},
    {"upstream_leaves", upstream_leaves},
    {"entry_of_another_writer", entry_of_another_writer},
    {"change_routes", change_routes},
    {"storm_of_versions", storm_of_versions},
    {"evacuate", evacuate},
    {"reload", reload},
};

}  // namespace

std::span<const soak_fault> soak_faults() { return table; }

}  // namespace rosemarydrum
