#define BOOST_TEST_MODULE fleet_restore
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet/three_data_centres.h"
#include "rosemarydrum/spread/member_codec.h"

// A store that is restored from a copy some seconds old: what it acknowledged
// since is lost until operators and upstreams write it again, and its revisions
// and lease ids are given out again.
namespace rosemarydrum {
namespace {

using platform_texts::route_text;

/// Limits from the requirements.
constexpr milliseconds drain_limit{3000};
constexpr milliseconds configuration_limit{3000};
constexpr milliseconds data_centre_limit{5000};

constexpr milliseconds away{2000};
constexpr milliseconds rewritten_after{700};

/// Something else that happens while the store is away or just after.
struct circumstance {
  const char* name;
  /// Called when the store becomes unavailable.
  void (*inject)(three_data_centres& fleet);
};

std::ostream& operator<<(std::ostream& out, const circumstance& each) {
  return out << each.name;
}

/// Cuts a forwarder from the store for longer than the store is away.
void cut_from_store(three_data_centres& fleet, const std::string& name) {
  fleet.clock.after(away, [&fleet, name] {
    fleet.nodes.at(name)->client.fault = store_fault::silent;
  });
  fleet.clock.after(away + seconds(4), [&fleet, name] {
    fleet.nodes.at(name)->client.fault = store_fault::none;
  });
}

constexpr circumstance circumstances[] = {
    {"nothing else", [](three_data_centres&) {}},
    {"a reader is killed",
     [](three_data_centres& fleet) { fleet.kill("north-1"); }},
    {"all readers are killed as the store returns",
     [](three_data_centres& fleet) {
       fleet.clock.after(away, [&fleet] {
         for (const auto* name : {"north-1", "centre-1", "south-1"}) {
           fleet.kill(name);
         }
       });
     }},
    {"members restart before the lost items are written again",
     [](three_data_centres& fleet) {
       fleet.clock.after(away + milliseconds(200), [&fleet] {
         for (const auto* name : {"north-1", "south-2"}) {
           fleet.kill(name);
           fleet.restart(name);
         }
       });
     }},
    {"a reader is frozen until after the return",
     [](three_data_centres& fleet) { fleet.freeze("north-1", seconds(4)); }},
    {"a member is frozen until after the return",
     [](three_data_centres& fleet) { fleet.freeze("north-2", seconds(4)); }},
    {"a reader cannot reach the returned store",
     [](three_data_centres& fleet) { cut_from_store(fleet, "north-1"); }},
    {"two data centres are cut from each other",
     [](three_data_centres& fleet) { fleet.cut_between("north", "south"); }},
    {"stale reads are older than the return",
     [](three_data_centres& fleet) { fleet.store.stale_lag = seconds(6); }},
    {"stale reads are older than the return and members restart",
     [](three_data_centres& fleet) {
       fleet.store.stale_lag = seconds(6);
       fleet.clock.after(away + milliseconds(200), [&fleet] {
         fleet.kill("centre-2");
         fleet.restart("centre-2");
       });
     }},
    {"the store goes back again",
     [](three_data_centres& fleet) {
       fleet.clock.after(away + milliseconds(300), [&fleet] {
         fleet.restore_store(milliseconds(100), milliseconds(300),
                             rewritten_after);
       });
     }},
};

/// Fails if a forwarder puts an older configuration in force than it had.
class version_check {
 public:
  explicit version_check(simulated_fleet& fleet) : fleet_(fleet) { check(); }

 private:
  void check() {
    for (const auto& [name, node] : fleet_.nodes) {
      const auto version = node->packet_forwarder().routes().version();
      auto& highest = highest_[node.get()];
      BOOST_CHECK_MESSAGE(version >= highest, name << " reverts to " << version
                                                   << " from " << highest);
      highest = std::max(highest, version);
    }
    fleet_.clock.after(milliseconds(50), [this] { check(); });
  }

  simulated_fleet& fleet_;
  std::map<const test_node*, std::uint64_t> highest_;
};

std::vector<route_text> routes_with(const std::string& added) {
  return {{}, {added, "198.18.0.9"}};
}

std::uint64_t version_at(const simulated_fleet& fleet,
                         const std::string& name) {
  return fleet.nodes.at(name)->packet_forwarder().routes().version();
}

// CONFIG: guards against a confirmed configuration that is not in force in
// time, or reverts, because the store gives its revision out again.
BOOST_DATA_TEST_CASE(configurations_survive_a_restored_store,
                     boost::unit_test::data::make(circumstances), injected) {
  three_data_centres fleet;
  const version_check check(fleet);
  fleet.configure(4, routes_with("r-4"));
  fleet.run_for(seconds(3));
  fleet.configure(8, routes_with("r-8"));
  fleet.run_for(seconds(2));
  fleet.configure(11, routes_with("r-11"));
  fleet.run_for(seconds(2));
  fleet.restore_store(seconds(5), away, rewritten_after);
  injected.inject(fleet);
  fleet.run_for(away + seconds(2));
  fleet.configure(14, routes_with("r-14"));
  fleet.run_for(configuration_limit);
  for (const auto& [name, node] : fleet.nodes) {
    if (node->running && !node->frozen) {
      BOOST_CHECK_MESSAGE(version_at(fleet, name) == 14,
                          name << " has " << version_at(fleet, name));
    }
  }
  fleet.configure(15, routes_with("r-15"));
  fleet.run_for(configuration_limit);
  for (const auto& [name, node] : fleet.nodes) {
    BOOST_CHECK(!node->running || version_at(fleet, name) == 15);
  }
}

// CONFIG: guards against a forwarder that starts before the lost configuration
// is written again and takes the older one of the copy for the latest.
BOOST_FIXTURE_TEST_CASE(a_new_forwarder_learns_the_lost_configuration,
                        three_data_centres) {
  run_for(seconds(3));
  configure(8, routes_with("r-8"));
  run_for(seconds(2));
  restore_store(seconds(3), away, seconds(20));
  run_for(away + milliseconds(200));
  for (const std::string name : {"north-1", "centre-2"}) {
    kill(name);
    restart(name);
  }
  run_for(seconds(2));
  for (const auto& [name, node] : nodes) {
    BOOST_CHECK_MESSAGE(version_at(*this, name) == 8,
                        name << " has " << version_at(*this, name));
  }
}

// DRAIN: guards against new flows to upstreams whose draining state or removal
// the store has lost, and against never hearing of later ones, because their
// revisions were given out before.
BOOST_DATA_TEST_CASE(leaving_upstreams_stay_known_after_a_restore,
                     boost::unit_test::data::make(circumstances), injected) {
  three_data_centres fleet;
  fleet.run_for(seconds(2));
  fleet.upstreams.at("a0")->entry.state = "draining";
  fleet.write_entry("a0");
  fleet.remove_entry("b0");
  fleet.add_upstream("a3", {.zone = "north"});
  const auto changed_at = fleet.clock.now();
  fleet.run_for(seconds(2));
  fleet.load(20, seconds(12));
  fleet.restore_store(seconds(3), away, rewritten_after);
  injected.inject(fleet);
  fleet.run_for(away + seconds(2));
  for (const auto* leaving : {"a0", "b0"}) {
    BOOST_CHECK_EQUAL(
        fleet.upstreams.at(leaving)->openings_since(changed_at + drain_limit),
        0U);
  }
  // Later changes, of which the first ones have revisions of lost ones.
  fleet.upstreams.at("a1")->entry.state = "draining";
  fleet.write_entry("a1");
  fleet.remove_entry("b1");
  const auto left_at = fleet.clock.now();
  const auto returned_at = fleet.clock.now();
  fleet.run_for(seconds(8));
  for (const auto* leaving : {"a1", "b1"}) {
    BOOST_CHECK_EQUAL(
        fleet.upstreams.at(leaving)->openings_since(left_at + drain_limit), 0U);
  }
  BOOST_CHECK_GT(fleet.upstreams.at("a3")->openings_since(returned_at), 0U);
}

// EVAC: guards against new flows to a data centre whose evacuation the store
// has lost.
BOOST_DATA_TEST_CASE(evacuations_survive_a_restored_store,
                     boost::unit_test::data::make(circumstances), injected) {
  three_data_centres fleet;
  fleet.run_for(seconds(2));
  fleet.evacuate("south");
  const auto changed_at = fleet.clock.now();
  fleet.run_for(seconds(2));
  fleet.load(20, seconds(12));
  fleet.restore_store(seconds(3), away, rewritten_after);
  injected.inject(fleet);
  fleet.run_for(away + seconds(2));
  fleet.evacuate("centre");
  const auto later_at = fleet.clock.now();
  fleet.run_for(seconds(9));
  BOOST_CHECK_EQUAL(fleet.openings_in("south", changed_at + data_centre_limit),
                    0U);
  BOOST_CHECK_EQUAL(fleet.openings_in("centre", later_at + data_centre_limit),
                    0U);
  fleet.end_evacuation("south");
  fleet.end_evacuation("centre");
  fleet.run_for(seconds(6));
  fleet.load(20, seconds(2));
  const auto ended_at = fleet.clock.now();
  fleet.run_for(seconds(3));
  BOOST_CHECK_GT(fleet.openings_in("south", ended_at), 0U);
}

// Guards against forwarders that are missing from the store, or share a lease
// with another one, because the store has lost their record and lease.
BOOST_DATA_TEST_CASE(members_register_again_after_a_restore,
                     boost::unit_test::data::make(circumstances), injected) {
  three_data_centres fleet;
  fleet.add_node("south-3", "south");
  fleet.run_for(seconds(2));
  // The copy has none of the records.
  fleet.restore_store(seconds(8), away, rewritten_after);
  injected.inject(fleet);
  fleet.run_for(away + seconds(8));
  std::set<lease_id> leases;
  for (const auto& [name, node] : fleet.nodes) {
    if (!node->running) {
      continue;
    }
    const auto key = member_key(name);
    const auto read = fleet.store.list(key, {}, duration(0));
    BOOST_REQUIRE_MESSAGE(!read.items.empty() && read.items[0].key == key,
                          name << " has no record");
    const auto lease = read.items[0].lease;
    BOOST_CHECK(fleet.store.has_lease(lease));
    BOOST_CHECK_MESSAGE(leases.insert(lease).second,
                        name << " shares its lease");
  }
}

// Guards against readers that list all items again and again while the store's
// revision is below the one that they knew.
BOOST_FIXTURE_TEST_CASE(a_restore_costs_few_store_calls, three_data_centres) {
  run_for(seconds(2));
  configure(4);
  configure(8);
  run_for(seconds(2));
  restore_store(seconds(3), away, seconds(20));
  run_for(away);
  const auto calls_before = store_calls();
  run_for(seconds(10));
  // Three readers make about one watch per second and list all items once
  // more; each of the six members may have to register again.
  BOOST_CHECK_LE(store_calls() - calls_before, 3 * (14 + 2) + 6 * 2);
}

}  // namespace
}  // namespace rosemarydrum
