#define BOOST_TEST_MODULE replica_spread
#include "rosemarydrum/spread/replica_spread.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fleet_world.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

/// One data centre with many forwarders that start at once.
struct one_centre : fleet_world {
  static constexpr int node_count = 28;

  one_centre() : fleet_world({"north"}) {
    configure(1);
    for (int i = 0; i < node_count; ++i) {
      add_node("n-" + std::to_string(i), "north", i < 2 ? 500 : 120);
    }
  }

  std::vector<std::string> readers() {
    std::vector<std::string> names;
    for (auto& [name, node] : nodes) {
      if (node->running && node->agent().is_reading()) {
        names.push_back(name);
      }
    }
    return names;
  }
};

// Guards against a fleet that reads the store with all its members at its
// first start, when they do not know of each other yet.
BOOST_FIXTURE_TEST_CASE(a_first_start_costs_few_calls, one_centre) {
  run_for(seconds(5));
  // A list, a lease, a record and a check each, and the reader's watches.
  BOOST_CHECK_LE(store_calls(), 4 * node_count + 20);
  BOOST_REQUIRE_EQUAL(readers().size(), 1U);
  // The reader is one of the large instances.
  BOOST_CHECK(readers()[0] == "n-0" || readers()[0] == "n-1");
  const auto before = store_calls();
  run_for(seconds(10));
  BOOST_CHECK_LE(store_calls() - before, 18);
}

// Guards against a store that is asked by all at once when the reader dies, or
// when several members that would follow it have died as well.
BOOST_FIXTURE_TEST_CASE(another_member_takes_over, one_centre) {
  run_for(seconds(5));
  const auto before = store_calls();
  kill(readers()[0]);
  run_for(seconds(3));
  BOOST_REQUIRE_EQUAL(readers().size(), 1U);
  BOOST_CHECK_LE(store_calls() - before, 8);
  for (auto& [name, node] : nodes) {
    if (node->running) {
      BOOST_CHECK(node->agent().is_fresh(clock.now()));
    }
  }
}

// Guards against a second of old knowledge at each planned stop of the reader.
BOOST_FIXTURE_TEST_CASE(a_reader_that_leaves_is_replaced_sooner, one_centre) {
  run_for(seconds(5));
  const auto leaving = readers()[0];
  nodes.at(leaving)->leave();
  run_for(milliseconds(1300));
  BOOST_REQUIRE_EQUAL(readers().size(), 1U);
  BOOST_CHECK(readers()[0] != leaving);
}

// Guards against two readers that go on after the former one is back.
BOOST_FIXTURE_TEST_CASE(the_former_reader_takes_over_again, one_centre) {
  run_for(seconds(5));
  const auto first = readers()[0];
  kill(first);
  run_for(seconds(3));
  restart(first);
  run_for(seconds(3));
  BOOST_CHECK(readers() == std::vector{first});
}

// Guards against a storm of calls while a data centre is cut off from the
// store.
BOOST_FIXTURE_TEST_CASE(a_cut_off_data_centre_asks_with_pauses, one_centre) {
  run_for(seconds(5));
  const auto before = store_calls();
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  run_for(seconds(6));
  BOOST_CHECK_LE(store_calls() - before, 5 * node_count);
}

// Guards against a new member that is not told until the next list.
BOOST_FIXTURE_TEST_CASE(new_members_are_told, one_centre) {
  run_for(seconds(5));
  add_node("n-new", "north", 120);
  run_for(seconds(2));
  const auto before = nodes.at("n-new")->client.calls;
  run_for(seconds(5));
  BOOST_CHECK_EQUAL(nodes.at("n-new")->client.calls, before);
  BOOST_CHECK(nodes.at("n-new")->agent().is_fresh(clock.now()));
}

/// A spread alone, with messages by hand.
struct alone {
  alone() {
    listing.complete = true;
    listing.at = revision(10);
    for (const auto* name : {"n-1", "n-2"}) {
      listing.items.push_back(
          {member_key(name),
           encode_member(
               {name, "north", {1, 7700}, name[2] == '1' ? 500U : 1U}),
           revision(5),
           false,
           false,
           {}});
    }
    spread.on_store(listing, clock.now(), clock.now(), out);
    out = {};
  }

  void hear(bulletin told, std::uint64_t at) {
    told.listing.at = revision(at);
    spread.on_message({1, 7700}, {"n-1", incarnation(1), revision(at), told, 0},
                      clock.now(), out);
  }

  scheduler clock;
  item_replica replica{seconds(60)};
  replica_spread spread{{{"n-2", "north", {2, 7700}, 1},
                         incarnation(1),
                         {},
                         milliseconds(3000),
                         1},
                        replica,
                        clock.now()};
  item_listing listing;
  spread_output out;
};

// Guards against a bulletin that was lost and is never asked for.
BOOST_FIXTURE_TEST_CASE(gaps_are_asked_for, alone) {
  bulletin told;
  told.reading = true;
  told.listing.after = revision(12);
  hear(told, 13);
  BOOST_CHECK(replica.at() == revision(10));
  // The sender gives no items: its history may be too short for a datagram.
  BOOST_REQUIRE(out.fetch);
  BOOST_CHECK(out.fetch->kind == fetch_kind::newer);
  BOOST_CHECK(out.fetch->after == revision(10));
}

// Guards against members of a large fleet that fetch the same again and again
// while their links are full.
BOOST_FIXTURE_TEST_CASE(one_thing_is_fetched_at_a_time, alone) {
  bulletin told;
  told.listing.after = revision(12);
  hear(told, 13);
  BOOST_REQUIRE(out.fetch);
  for (int i = 0; i < 4; ++i) {
    clock.run_for(milliseconds(700));
    out = {};
    hear(told, 13);
    spread.tick(clock.now(), out);
    BOOST_CHECK(!out.fetch);
  }
  out = {};
  spread.on_fetched({}, clock.now(), out);
  BOOST_CHECK(!out.fetch);
  clock.run_for(milliseconds(700));
  hear(told, 13);
  BOOST_CHECK(out.fetch);
}

/// Another member that knows of many more upstreams.
struct far_ahead : alone {
  static constexpr int upstream_count = 1000;

  far_ahead() {
    item_listing shown;
    shown.after = revision(10);
    for (int i = 1; i <= upstream_count; ++i) {
      shown.items.push_back({"servers/i-" + std::to_string(i),
                             std::string(250, 'x'),
                             revision(10 + i),
                             false,
                             false,
                             {}});
    }
    shown.at = revision(10 + upstream_count);
    ahead.on_store(listing, clock.now(), clock.now(), out);
    ahead.on_store(shown, clock.now(), clock.now(), out);
    out = {};
  }

  item_replica rich{seconds(60)};
  replica_spread ahead{{{"n-1", "north", {1, 7700}, 500},
                        incarnation(1),
                        {},
                        milliseconds(3000),
                        1},
                       rich,
                       clock.now()};
};

// Guards against a question of one packet that is answered with a thousand.
BOOST_FIXTURE_TEST_CASE(long_answers_are_left_to_a_connection, far_ahead) {
  ahead.on_message({2, 7700},
                   {"n-2", incarnation(1), revision(10), inquiry{}, 0},
                   clock.now(), out);
  BOOST_REQUIRE(!out.datagrams.empty());
  BOOST_CHECK_LE(out.datagrams.size(), 4U);
  const auto message = out.datagrams.back().message;
  out = {};
  spread.on_message({1, 7700}, message, clock.now(), out);
  BOOST_CHECK(out.fetch);
}

// Guards against answers that are too long for a slow link, and against a part
// of what a member knows that counts as all of it.
BOOST_FIXTURE_TEST_CASE(much_is_fetched_in_pages, far_ahead) {
  clock.run_for(milliseconds(500));
  const auto confirmed = replica.confirmed_at();
  ahead.on_store({{}, false, rich.at(), rich.at()}, clock.now(), clock.now(),
                 out);
  out = {};
  bulletin told;
  told.listing.after = rich.at();
  hear(told, value_of(rich.at()));
  int pages = 0;
  while (out.fetch && pages < 10) {
    ++pages;
    BOOST_CHECK(replica.confirmed_at() == confirmed);
    const auto page = ahead.changes_after(out.fetch->after, clock.now());
    BOOST_CHECK_LE(encode(page).size(), 80U << 10);
    out = {};
    spread.on_fetched(page, clock.now(), out);
  }
  BOOST_CHECK_GT(pages, 1);
  BOOST_CHECK(replica.at() == rich.at());
  BOOST_CHECK(replica.confirmed_at() > confirmed);
}

// Guards against the first datagram of several that confirms what the others
// would have told.
BOOST_FIXTURE_TEST_CASE(a_part_confirms_nothing, far_ahead) {
  clock.run_for(milliseconds(500));
  const auto confirmed = replica.confirmed_at();
  bulletin told;
  told.reading = true;
  told.listing = {{}, false, revision(10), revision(15)};
  spread.on_message({1, 7700}, {"n-1", incarnation(1), revision(20), told, 0},
                    clock.now(), out);
  BOOST_CHECK(replica.at() == revision(15));
  BOOST_CHECK(replica.confirmed_at() == confirmed);
}

// Guards against knowledge that is taken for fresh because messages about it
// waited while the process did not run.
BOOST_FIXTURE_TEST_CASE(messages_that_waited_confirm_nothing, alone) {
  clock.run_for(seconds(4));
  const auto before = replica.confirmed_at();
  spread.on_stall(clock.now());
  bulletin told;
  told.reading = true;
  told.listing.after = revision(10);
  hear(told, 10);
  BOOST_CHECK(replica.confirmed_at() == before);
  BOOST_CHECK(!spread.is_fresh(clock.now()));
  clock.run_for(milliseconds(200));
  hear(told, 10);
  BOOST_CHECK(spread.is_fresh(clock.now()));
}

// Guards against a reader whose own knowledge is old but counts as fresh.
BOOST_FIXTURE_TEST_CASE(the_age_of_a_bulletin_counts, alone) {
  clock.run_for(seconds(2));
  bulletin told;
  told.reading = true;
  told.age = milliseconds(1900);
  told.listing.after = revision(10);
  hear(told, 10);
  BOOST_CHECK(!spread.is_fresh(clock.now()));
  spread.tick(clock.now(), out);
  BOOST_CHECK(spread.mode(clock.now()) == follow_mode::follow);
}

// Guards against long values in datagrams.
BOOST_FIXTURE_TEST_CASE(long_values_are_announced, alone) {
  item_listing shown{
      {{"op/config", std::string(5000, 'x'), revision(11), false, false, {}},
       {"servers/i-1", "{}", revision(12), false, false, {}}},
      false,
      revision(10),
      revision(12)};
  spread.on_store(shown, clock.now(), clock.now(), out);
  out = {};
  spread.on_message({1, 7700},
                    {"n-1", incarnation(1), revision(10), inquiry{}, 0},
                    clock.now(), out);
  BOOST_REQUIRE(!out.datagrams.empty());
  for (const auto& each : out.datagrams) {
    BOOST_CHECK_LE(encode(each.message).size(), max_spread_datagram);
  }
  const auto& told = std::get<bulletin>(out.datagrams[0].message.body);
  BOOST_REQUIRE_EQUAL(told.listing.items.size(), 2U);
  BOOST_CHECK(told.listing.items[0].omitted);
  BOOST_CHECK(!told.listing.items[1].omitted);
  const auto whole = spread.changes_after(revision(10), clock.now());
  BOOST_CHECK_EQUAL(
      std::get<bulletin>(whole.body).listing.items[0].value.size(), 5000U);
}

// Guards against a process that cannot start while the store is away.
BOOST_AUTO_TEST_CASE(seeds_are_asked_without_the_store) {
  scheduler clock;
  item_replica replica(seconds(60));
  replica_spread spread({{"n-2", "north", {2, 7700}, 1},
                         incarnation(1),
                         {{9, 7700}},
                         milliseconds(3000),
                         1},
                        replica, clock.now());
  clock.run_for(seconds(2));
  spread_output out;
  spread.tick(clock.now(), out);
  BOOST_REQUIRE_EQUAL(out.datagrams.size(), 1U);
  BOOST_CHECK(out.datagrams[0].to == (std::vector<endpoint>{{9, 7700}}));
  BOOST_CHECK(std::holds_alternative<inquiry>(out.datagrams[0].message.body));
}

}  // namespace
}  // namespace rosemarydrum
