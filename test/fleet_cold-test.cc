#define BOOST_TEST_MODULE fleet_cold
#include <algorithm>
#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet/three_data_centres.h"
#include "rosemarydrum/spread/member_codec.h"

// Flows to cold upstreams while forwarders do not know all that others know.
namespace rosemarydrum {
namespace {

/// Limit from the requirements.
constexpr std::size_t max_cold_flows_per_second = 5;

void check_openings(const three_data_centres& fleet,
                    const std::vector<std::string>& hex_ids) {
  for (const auto& hex_id : hex_ids) {
    BOOST_CHECK_LE(fleet.upstreams.at(hex_id)->max_openings_per_second(),
                   max_cold_flows_per_second);
  }
}

/// Processes that are killed 0.4 s before they start again, at `start_at` from
/// the end of the evacuation of "south".
struct restart_near_return {
  const char* name;
  std::vector<std::string> nodes;
  milliseconds start_at;
  milliseconds store_latency{4};
  /// Processes that are lost for good, 0.1 s before the end.
  std::vector<std::string> lost{};
};

std::ostream& operator<<(std::ostream& out, const restart_near_return& each) {
  return out << each.name;
}

void play(three_data_centres& fleet, const restart_near_return& restarted) {
  fleet.run_for(seconds(8));
  fleet.evacuate("south");
  fleet.run_for(seconds(4));
  fleet.load(120, seconds(4));
  fleet.run_for(seconds(1));
  for (const auto& name : restarted.nodes) {
    fleet.clock.after(restarted.start_at + milliseconds(100),
                      [&fleet, name] { fleet.kill(name); });
    fleet.clock.after(
        restarted.start_at + milliseconds(500), [&fleet, &restarted, name] {
          fleet.restart(name);
          fleet.nodes.at(name)->client.latency = restarted.store_latency;
        });
  }
  for (const auto& name : restarted.lost) {
    fleet.clock.after(milliseconds(400), [&fleet, name] { fleet.kill(name); });
  }
  fleet.run_for(milliseconds(500));
  fleet.end_evacuation("south");
  fleet.run_for(milliseconds(2500));
}

const std::vector<restart_near_return> restarts{
    {"a small one", {"south-2"}, milliseconds(100)},
    {"a reader", {"south-1"}, milliseconds(100)},
    {"just before", {"south-1"}, milliseconds(-10)},
    {"just after", {"south-1"}, milliseconds(10)},
    {"later", {"south-1"}, milliseconds(1500)},
};

// FAILBACK: guards against full load on the cold upstreams of a data centre
// from processes that have not seen its evacuation.
BOOST_DATA_TEST_CASE(starting_forwarders_limit_flows_to_a_returning_data_centre,
                     boost::unit_test::data::make(restarts), restarted) {
  three_data_centres fleet;
  play(fleet, restarted);
  check_openings(fleet, {"c0", "c1", "c2"});
}

const std::vector<restart_near_return> restarts_among_others{
    {"the data centre", {"south-1", "south-2"}, milliseconds(100)},
    {"two thirds",
     {"south-1", "south-2", "centre-1", "north-2"},
     milliseconds(100)},
    {"all but one",
     {"south-1", "south-2", "centre-1", "north-1", "north-2"},
     milliseconds(100)},
    {"all",
     {"south-1", "south-2", "centre-1", "centre-2", "north-1", "north-2"},
     milliseconds(100)},
    {"all, just before",
     {"south-1", "south-2", "centre-1", "centre-2", "north-1", "north-2"},
     milliseconds(-150)},
    {"the store is slow",
     {"south-1", "south-2"},
     milliseconds(100),
     milliseconds(200)},
    {"the peer is lost",
     {"south-1"},
     milliseconds(100),
     milliseconds(4),
     {"south-2"}},
    {"the peer is lost and the store slow",
     {"south-1"},
     milliseconds(100),
     milliseconds(200),
     {"south-2"}},
};

// FAILBACK: guards against full load on cold upstreams from a process that
// places flows before a member which knows of the return has told it.
BOOST_DATA_TEST_CASE(starting_forwarders_ask_members_that_know_the_return,
                     boost::unit_test::data::make(restarts_among_others),
                     restarted) {
  three_data_centres fleet;
  play(fleet, restarted);
  check_openings(fleet, {"c0", "c1", "c2"});
}

/// Twelve forwarders whose records lapse during an outage of the store.
struct lapsed_records : three_data_centres {
  lapsed_records() {
    for (const std::string centre : {"north", "centre", "south"}) {
      add_node(centre + "-3", centre, small);
      add_node(centre + "-4", centre, small);
    }
    run_for(seconds(12));
    for (auto& [name, node] : nodes) {
      node->client.fault = store_fault::refuses;
    }
    run_for(seconds(4));
    for (auto& [name, node] : nodes) {
      store.remove(member_key(name));
      // Records are written again only after two calls.
      node->client.latency = milliseconds(400);
    }
    for (auto& [hex_id, upstream] : upstreams) {
      upstream->entry.cold_ms = 4000;
      write_entry(hex_id);
    }
    for (auto& [name, node] : nodes) {
      node->client.fault = store_fault::none;
    }
    while (!all_know_the_lapse()) {
      run_for(milliseconds(10));
    }
  }

  bool all_know_the_lapse() const {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& each) {
      const auto& [name, node] = each;
      const auto* stored = node->agent().replica().find(member_key(name));
      return stored != nullptr && stored->removed;
    });
  }
};

// FAILBACK: guards against members that all take themselves for the only one,
// because the records of all have lapsed.
BOOST_FIXTURE_TEST_CASE(lapsed_members_share_the_budget_of_cold_upstreams,
                        lapsed_records) {
  load(120, seconds(2));
  run_for(milliseconds(2100));
  std::size_t opened = 0;
  for (const auto& [hex_id, upstream] : upstreams) {
    check_openings(*this, {hex_id});
    opened += upstream->openings.size();
  }
  BOOST_CHECK_GT(opened, 0U);
}

/// Two upstreams crash while the store is away and are back 0.3 s later, cold
/// and under their ids.
struct restarts_in_an_outage : three_data_centres {
  restarts_in_an_outage() {
    for (auto& [name, node] : nodes) {
      node->client.fault = store_fault::refuses;
    }
    load(60, seconds(13));
    run_for(milliseconds(600));
    for (const auto* hex_id : restarted) {
      upstreams.at(hex_id)->alive = false;
    }
    run_for(milliseconds(300));
    for (const auto* hex_id : restarted) {
      upstreams.at(hex_id)->restart(2000);
      upstreams.at(hex_id)->openings.clear();
    }
  }
  static constexpr std::array restarted{"a1", "c0"};
};

// FAILBACK: guards against full load on upstreams whose restart the store
// cannot show: one unanswered handshake at any member is enough to spare them.
BOOST_FIXTURE_TEST_CASE(restarts_during_an_outage_are_suspected,
                        restarts_in_an_outage) {
  run_for(seconds(2));
  check_openings(*this, {"a1", "c0"});
  // They are used again when they are warm, although the store is still away.
  run_for(seconds(8));
  const auto before = upstreams.at("a1")->openings.size();
  run_for(seconds(2));
  BOOST_CHECK_GT(upstreams.at("a1")->openings.size() - before, 20U);
}

// FAILBACK: guards against full load from processes that start during the
// outage and have seen no unanswered handshake.
BOOST_FIXTURE_TEST_CASE(starting_forwarders_are_told_of_suspected_restarts,
                        restarts_in_an_outage) {
  for (const std::string name : {"north-2", "south-1"}) {
    kill(name);
    restart(name);
    nodes.at(name)->client.fault = store_fault::refuses;
  }
  run_for(seconds(2));
  check_openings(*this, {"a1", "c0"});
}

// FAILBACK: guards against belief in the entries that the store holds when it
// is back: the restarted upstreams write theirs a second later.
BOOST_FIXTURE_TEST_CASE(restarts_at_the_end_of_an_outage_are_suspected,
                        restarts_in_an_outage) {
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::none;
  }
  run_for(seconds(1));
  for (const auto* hex_id : restarted) {
    upstreams.at(hex_id)->entry.cold_ms = 1000;
    write_entry(hex_id);
  }
  run_for(seconds(1));
  check_openings(*this, {"a1", "c0"});
}

// RECOVER: guards against warm upstreams that count as cold after all processes
// have been restarted at once, because their data centre had once been out.
BOOST_FIXTURE_TEST_CASE(a_restarted_fleet_uses_warm_upstreams,
                        three_data_centres) {
  evacuate("south");
  run_for(seconds(4));
  end_evacuation("south");
  run_for(seconds(6));
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes) {
    names.push_back(name);
  }
  for (const auto& name : names) {
    kill(name);
    restart(name);
  }
  run_for(milliseconds(400));
  load(120, seconds(2));
  run_for(seconds(5));
  BOOST_CHECK_EQUAL(failed(), 0U);
  BOOST_CHECK_EQUAL(served_slower_than(milliseconds(300)), 0U);
  BOOST_CHECK_GT(upstreams.at("c0")->max_openings_per_second(),
                 4 * max_cold_flows_per_second);
}

}  // namespace
}  // namespace rosemarydrum
