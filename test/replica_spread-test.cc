#define BOOST_TEST_MODULE replica_spread
#include "rosemarydrum/spread/replica_spread.h"

#include <boost/test/unit_test.hpp>

#include "fleet/simulated_fleet.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

/// One data centre with many forwarders that start at once.
struct one_data_centre : simulated_fleet {
  static constexpr int node_count = 28;

  one_data_centre() : simulated_fleet({"north"}) {
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

// Guards against all members reading the store at the first start of a fleet,
// when they do not know each other yet.
BOOST_FIXTURE_TEST_CASE(a_first_start_makes_few_calls, one_data_centre) {
  run_for(seconds(5));
  // Each member makes four calls (list, lease, record, check); the reader also
  // makes watches.
  BOOST_CHECK_LE(store_calls(), 4 * node_count + 20);
  BOOST_REQUIRE_EQUAL(readers().size(), 1U);
  // The reader is one of the large instances.
  BOOST_CHECK(readers()[0] == "n-0" || readers()[0] == "n-1");
  const auto before = store_calls();
  run_for(seconds(10));
  BOOST_CHECK_LE(store_calls() - before, 18);
}

// Guards against all members calling the store at once when the reader fails,
// and against a data centre that stays without a reader.
BOOST_FIXTURE_TEST_CASE(another_member_takes_over, one_data_centre) {
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

// Guards against items that stay outdated for a second after each planned stop
// of the reader.
BOOST_FIXTURE_TEST_CASE(a_leaving_reader_is_replaced_early, one_data_centre) {
  run_for(seconds(5));
  const auto leaving = readers()[0];
  nodes.at(leaving)->leave();
  run_for(milliseconds(1300));
  BOOST_REQUIRE_EQUAL(readers().size(), 1U);
  BOOST_CHECK(readers()[0] != leaving);
}

// Guards against two readers that both continue when the former one is back.
BOOST_FIXTURE_TEST_CASE(the_former_reader_takes_over_again, one_data_centre) {
  run_for(seconds(5));
  const auto first = readers()[0];
  kill(first);
  run_for(seconds(3));
  restart(first);
  run_for(seconds(3));
  BOOST_CHECK(readers() == std::vector{first});
}

// Guards against a burst of calls while a data centre is cut off from the
// store.
BOOST_FIXTURE_TEST_CASE(a_cut_off_data_centre_retries_with_backoff,
                        one_data_centre) {
  run_for(seconds(5));
  const auto before = store_calls();
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  run_for(seconds(6));
  BOOST_CHECK_LE(store_calls() - before, 5 * node_count);
}

// Guards against a new member that receives no bulletins until the next list.
BOOST_FIXTURE_TEST_CASE(new_members_receive_bulletins, one_data_centre) {
  run_for(seconds(5));
  add_node("n-new", "north", 120);
  run_for(seconds(2));
  const auto before = nodes.at("n-new")->client.calls;
  run_for(seconds(5));
  BOOST_CHECK_EQUAL(nodes.at("n-new")->client.calls, before);
  BOOST_CHECK(nodes.at("n-new")->agent().is_fresh(clock.now()));
}

/// A single replica_spread that receives hand-written messages.
struct single_spread {
  single_spread() {
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
    spread.on_store_answer(listing, clock.now(), clock.now(), out);
    out = {};
  }

  void receive_bulletin(bulletin body, std::uint64_t at) {
    body.listing.at = revision(at);
    spread.on_message({1, 7700}, {"n-1", incarnation(1), revision(at), body, 0},
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

// Guards against a lost bulletin whose changes are never requested.
BOOST_FIXTURE_TEST_CASE(gaps_are_fetched, single_spread) {
  bulletin body;
  body.reading = true;
  body.listing.after = revision(12);
  receive_bulletin(body, 13);
  BOOST_CHECK(replica.at() == revision(10));
  // A bulletin without items may stand for changes that exceed a datagram.
  BOOST_REQUIRE(out.fetch);
  BOOST_CHECK(out.fetch->kind == fetch_kind::newer);
  BOOST_CHECK(out.fetch->after == revision(10));
}

// Guards against repeated fetches of the same changes by members of a large
// fleet while their links are saturated.
BOOST_FIXTURE_TEST_CASE(only_one_fetch_runs_at_a_time, single_spread) {
  bulletin body;
  body.listing.after = revision(12);
  receive_bulletin(body, 13);
  BOOST_REQUIRE(out.fetch);
  for (int i = 0; i < 4; ++i) {
    clock.run_for(milliseconds(700));
    out = {};
    receive_bulletin(body, 13);
    spread.tick(clock.now(), out);
    BOOST_CHECK(!out.fetch);
  }
  out = {};
  spread.on_fetched({}, clock.now(), out);
  BOOST_CHECK(!out.fetch);
  clock.run_for(milliseconds(700));
  receive_bulletin(body, 13);
  BOOST_CHECK(out.fetch);
}

// FAILBACK: guards against a process that asks for the items which the store
// does not list only half a second after it has fetched changes.
BOOST_FIXTURE_TEST_CASE(unlisted_items_are_asked_for_at_once, single_spread) {
  bulletin body;
  body.listing.after = revision(12);
  receive_bulletin(body, 13);
  BOOST_REQUIRE(out.fetch);
  BOOST_CHECK(out.fetch->kind == fetch_kind::newer);
  out = {};
  spread.on_fetched({}, clock.now(), out);
  spread.tick(clock.now(), out);
  BOOST_REQUIRE(out.fetch);
  BOOST_CHECK(out.fetch->kind == fetch_kind::unlisted);
}

// FAILBACK: guards against a process that knows no member, because the records
// of all have lapsed, and does not ask the seeds either.
BOOST_AUTO_TEST_CASE(seeds_are_asked_for_unlisted_items) {
  scheduler clock;
  item_replica replica(seconds(60));
  const endpoint self{2, 7700};
  const endpoint seed{9, 7700};
  replica_spread spread(
      {{"n-2", "north", self, 1}, incarnation(1), {self, seed}}, replica,
      clock.now());
  spread_output out;
  spread.on_store_answer({{}, true, {}, revision(10)}, clock.now(), clock.now(),
                         out);
  spread.tick(clock.now(), out);
  BOOST_REQUIRE(out.fetch);
  BOOST_CHECK(out.fetch->kind == fetch_kind::unlisted);
  BOOST_CHECK(out.fetch->from == seed);
}

// Guards against members that no longer count because their records have lapsed
// with the store, and against members that count for ever.
BOOST_FIXTURE_TEST_CASE(members_count_for_a_while_without_a_record,
                        single_spread) {
  const auto remove = [this](std::uint64_t at) {
    spread.on_store_answer({{{member_key("n-1"), {}, revision(at), true}},
                            false,
                            revision(at - 1),
                            revision(at)},
                           clock.now(), clock.now(), out);
  };
  remove(11);
  clock.run_for(milliseconds(9999));
  spread.tick(clock.now(), out);
  BOOST_REQUIRE_EQUAL(spread.members().size(), 2U);
  BOOST_CHECK(spread.members().at("n-1").capacity == 500U);
  const auto version = spread.members_version();
  clock.run_for(milliseconds(1));
  spread.tick(clock.now(), out);
  BOOST_CHECK_EQUAL(spread.members().size(), 1U);
  BOOST_CHECK_GT(spread.members_version(), version);
  // A record that is written again stays.
  auto written = listing.items[0];
  written.changed = revision(12);
  spread.on_store_answer({{written}, false, revision(11), revision(12)},
                         clock.now(), clock.now(), out);
  remove(13);
  written.changed = revision(14);
  spread.on_store_answer({{written}, false, revision(13), revision(14)},
                         clock.now(), clock.now(), out);
  clock.run_for(seconds(20));
  spread.tick(clock.now(), out);
  BOOST_CHECK_EQUAL(spread.members().size(), 2U);
}

// Guards against a process that starts and counts members which left long ago.
BOOST_FIXTURE_TEST_CASE(members_that_left_earlier_do_not_count, single_spread) {
  auto gone = listing.items[0];
  gone.key = member_key("n-3");
  gone.removed = true;
  bulletin body;
  body.listing.items = {gone};
  receive_bulletin(body, 10);
  BOOST_CHECK_EQUAL(spread.members().size(), 2U);
  body.listing.items[0].removed_for = seconds(10);
  receive_bulletin(body, 10);
  BOOST_CHECK_EQUAL(spread.members().size(), 2U);
}

// FAILBACK: guards against a process that starts while all records have lapsed
// and takes itself for the only member.
BOOST_FIXTURE_TEST_CASE(lapsed_members_are_learned, single_spread) {
  auto lapsed = listing.items[0];
  lapsed.key = member_key("n-3");
  lapsed.removed = true;
  lapsed.removed_for = seconds(1);
  bulletin body;
  body.listing.items = {lapsed};
  receive_bulletin(body, 10);
  BOOST_CHECK_EQUAL(spread.members().size(), 3U);
}

/// A second member that knows many more upstreams.
struct second_member : single_spread {
  static constexpr int upstream_count = 1000;

  second_member() {
    item_listing changes;
    changes.after = revision(10);
    for (int i = 1; i <= upstream_count; ++i) {
      changes.items.push_back({"servers/i-" + std::to_string(i),
                               std::string(250, 'x'),
                               revision(10 + i),
                               false,
                               false,
                               {}});
    }
    changes.at = revision(10 + upstream_count);
    ahead.on_store_answer(listing, clock.now(), clock.now(), out);
    ahead.on_store_answer(changes, clock.now(), clock.now(), out);
    out = {};
  }

  item_replica ahead_replica{seconds(60)};
  replica_spread ahead{{{"n-1", "north", {1, 7700}, 500},
                        incarnation(1),
                        {},
                        milliseconds(3000),
                        1},
                       ahead_replica,
                       clock.now()};
};

// Guards against an inquiry that is answered with a thousand datagrams.
BOOST_FIXTURE_TEST_CASE(long_answers_are_fetched_over_a_connection,
                        second_member) {
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

// Guards against answers that are too long for a slow link, and against a first
// page that confirms the replica as if it were complete.
BOOST_FIXTURE_TEST_CASE(many_changes_are_fetched_in_pages, second_member) {
  clock.run_for(milliseconds(500));
  const auto confirmed = replica.confirmed_at();
  ahead.on_store_answer({{}, false, ahead_replica.at(), ahead_replica.at()},
                        clock.now(), clock.now(), out);
  out = {};
  bulletin body;
  body.listing.after = ahead_replica.at();
  receive_bulletin(body, ahead_replica.at().number);
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
  BOOST_CHECK(replica.at() == ahead_replica.at());
  BOOST_CHECK(replica.confirmed_at() > confirmed);
}

// Guards against the first of several datagrams confirming changes that only
// the others contain.
BOOST_FIXTURE_TEST_CASE(a_partial_answer_confirms_nothing, second_member) {
  clock.run_for(milliseconds(500));
  const auto confirmed = replica.confirmed_at();
  bulletin body;
  body.reading = true;
  body.listing = {{}, false, revision(10), revision(15)};
  spread.on_message({1, 7700}, {"n-1", incarnation(1), revision(20), body, 0},
                    clock.now(), out);
  BOOST_CHECK(replica.at() == revision(15));
  BOOST_CHECK(replica.confirmed_at() == confirmed);
}

// Guards against a replica that counts as fresh because of messages that were
// queued during a stall.
BOOST_FIXTURE_TEST_CASE(messages_queued_during_a_stall_confirm_nothing,
                        single_spread) {
  clock.run_for(seconds(4));
  const auto before = replica.confirmed_at();
  spread.on_stall(clock.now());
  bulletin body;
  body.reading = true;
  body.listing.after = revision(10);
  receive_bulletin(body, 10);
  BOOST_CHECK(replica.confirmed_at() == before);
  BOOST_CHECK(!spread.is_fresh(clock.now()));
  clock.run_for(milliseconds(200));
  receive_bulletin(body, 10);
  BOOST_CHECK(spread.is_fresh(clock.now()));
}

// Guards against treating a reader's items as fresh when its own confirmation
// is old.
BOOST_FIXTURE_TEST_CASE(the_age_of_a_bulletin_counts, single_spread) {
  clock.run_for(seconds(2));
  bulletin body;
  body.reading = true;
  body.age = milliseconds(1900);
  body.listing.after = revision(10);
  receive_bulletin(body, 10);
  BOOST_CHECK(!spread.is_fresh(clock.now()));
  spread.tick(clock.now(), out);
  BOOST_CHECK(spread.mode(clock.now()) == follow_mode::follow);
}

// Guards against long values that exceed a datagram.
BOOST_FIXTURE_TEST_CASE(long_values_are_announced, single_spread) {
  item_listing changes{
      {{"op/config", std::string(5000, 'x'), revision(11), false, false, {}},
       {"servers/i-1", "{}", revision(12), false, false, {}}},
      false,
      revision(10),
      revision(12)};
  spread.on_store_answer(changes, clock.now(), clock.now(), out);
  out = {};
  spread.on_message({1, 7700},
                    {"n-1", incarnation(1), revision(10), inquiry{}, 0},
                    clock.now(), out);
  BOOST_REQUIRE(!out.datagrams.empty());
  for (const auto& each : out.datagrams) {
    BOOST_CHECK_LE(encode(each.message).size(), max_spread_datagram);
  }
  const auto& body = std::get<bulletin>(out.datagrams[0].message.body);
  BOOST_REQUIRE_EQUAL(body.listing.items.size(), 2U);
  BOOST_CHECK(body.listing.items[0].omitted);
  BOOST_CHECK(!body.listing.items[1].omitted);
  const auto full_page = spread.changes_after(revision(10), clock.now());
  BOOST_CHECK_EQUAL(
      std::get<bulletin>(full_page.body).listing.items[0].value.size(), 5000U);
}

// Guards against a process that cannot start during an outage of the store.
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
