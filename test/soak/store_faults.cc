#include "soak/store_faults.h"

namespace rosemarydrum {
namespace {

duration inject_link_fault(soak_fleet& fleet, link_fault fault, bool all) {
  const auto time = random_between(fleet, 1000, 6000);
  for (auto& node : fleet.nodes) {
    if (all || fleet.random() % 3 == 0) {
      node->store->set(fault);
      fleet.time.after(time, [&node] { node->store->set(link_fault::none); });
    }
  }
  fleet.checks.disturb_all(fleet.time.now() + time);
  return time;
}

}  // namespace

duration random_between(soak_fleet& fleet, int min_ms, int max_ms) {
  const auto range = static_cast<std::uint64_t>(max_ms - min_ms);
  return milliseconds(min_ms + static_cast<int>(fleet.random() % range));
}

duration store_refused(soak_fleet& fleet) {
  return inject_link_fault(fleet, link_fault::reset, fleet.random() % 2 == 0);
}
duration store_silent(soak_fleet& fleet) {
  return inject_link_fault(fleet, link_fault::silent, fleet.random() % 2 == 0);
}
duration store_one_way(soak_fleet& fleet) {
  return inject_link_fault(fleet, link_fault::one_way, fleet.random() % 2 == 0);
}
duration store_slow(soak_fleet& fleet) {
  return inject_link_fault(fleet, link_fault::delayed, true);
}

duration silence_connections(soak_fleet& fleet) {
  for (auto& node : fleet.nodes) {
    node->store->silence_open_connections();
  }
  fleet.checks.disturb_all(fleet.time.now());
  return duration(0);
}

duration deaf_watches(soak_fleet& fleet) {
  fleet.store.suppress_watches = true;
  fleet.time.after(seconds(1), [&fleet] {
    fleet.store.suppress_watches = false;
    fleet.store.drop_history();
  });
  fleet.checks.disturb_all(fleet.time.now() + seconds(1));
  return seconds(1);
}

duration old_stale_reads(soak_fleet& fleet) {
  fleet.store.stale_lag = seconds(5);
  fleet.time.after(seconds(4),
                   [&fleet] { fleet.store.stale_lag = duration(0); });
  return seconds(4);
}

duration lapse(soak_fleet& fleet) {
  const auto time = seconds(5);
  for (auto& node : fleet.nodes) {
    node->store->set(link_fault::silent);
  }
  fleet.checks.disturb_all(fleet.time.now() + time + seconds(2));
  fleet.time.after(milliseconds(4500), [&fleet] {
    for (auto& [digits, upstream] : fleet.upstreams) {
      if (fleet.random() % 2 == 0) {
        fleet.store.remove(platform_texts::upstream_key_of(upstream->id));
      }
    }
  });
  fleet.time.after(time, [&fleet] {
    for (auto& node : fleet.nodes) {
      node->store->set(link_fault::none);
    }
  });
  fleet.time.after(time + milliseconds(1500), [&fleet] {
    for (auto& [digits, upstream] : fleet.upstreams) {
      if (upstream->alive) {
        fleet.write_entry(*upstream);
      }
    }
  });
  return time + milliseconds(1500);
}

}  // namespace rosemarydrum
