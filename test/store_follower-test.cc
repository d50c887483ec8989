#define BOOST_TEST_MODULE store_follower
#include "rosemarydrum/store/store_follower.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fake_kv_store.h"

namespace rosemarydrum {
namespace {

struct fixture {
  fixture() {
    store.put("a", "1");
    clock.after(duration(0), [this] { tick(); });
  }

  void tick() {
    follower.tick(mode, clock.now());
    clock.after(milliseconds(50), [this] { tick(); });
  }

  scheduler clock;
  fake_kv_store store{clock};
  fake_kv_client client{store, clock};
  item_replica replica{seconds(60)};
  follow_mode mode = follow_mode::follow;
  int failures = 0;
  std::vector<item_listing> answers;
  store_follower follower{
      client,
      replica,
      {},
      {[this](const item_listing& listing, time_point as_of) {
         answers.push_back(listing);
         replica.apply(listing, clock.now());
         replica.confirm(as_of);
       },
       [this](error_kind) { ++failures; }}};
};

// Guards against a start that waits for a change before it lists the items.
BOOST_FIXTURE_TEST_CASE(all_items_are_listed_first, fixture) {
  mode = follow_mode::idle;
  clock.run_for(milliseconds(100));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_CHECK(answers[0].complete);
  BOOST_CHECK_EQUAL(replica.find("a")->value, "1");
  clock.run_for(seconds(5));
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against late notice of changes, and against one call for each of many
// changes.
BOOST_FIXTURE_TEST_CASE(changes_are_received_at_once, fixture) {
  clock.run_for(milliseconds(500));
  store.put("b", "2");
  clock.run_for(milliseconds(20));
  BOOST_REQUIRE(replica.find("b") != nullptr);
  const auto before = client.calls;
  for (int i = 0; i < 20; ++i) {
    store.put("c", std::to_string(i));
    clock.run_for(milliseconds(5));
  }
  clock.run_for(milliseconds(100));
  BOOST_CHECK_EQUAL(replica.find("c")->value, "19");
  BOOST_CHECK_LE(client.calls - before, 4);
}

// Guards against a replica whose confirmation grows old while nothing changes.
BOOST_FIXTURE_TEST_CASE(each_watch_confirms_the_replica, fixture) {
  for (int i = 0; i < 100; ++i) {
    clock.run_for(milliseconds(100));
    BOOST_CHECK(clock.now() - replica.confirmed_at() < milliseconds(1400));
  }
}

// Guards against changes that are lost when the store drops its history.
BOOST_FIXTURE_TEST_CASE(lost_history_causes_a_new_list, fixture) {
  clock.run_for(milliseconds(500));
  store.suppress_watches = true;
  store.remove("a");
  store.put("b", "2");
  store.suppress_watches = false;
  store.drop_history();
  clock.run_for(seconds(2));
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK_EQUAL(replica.find("b")->value, "2");
}

// Guards against a watch that returns a later revision without the changes up
// to it.
BOOST_FIXTURE_TEST_CASE(answers_that_skip_changes_cause_a_new_list, fixture) {
  clock.run_for(milliseconds(200));
  store.suppress_watches = true;
  store.put("b", "2");
  clock.run_for(milliseconds(1300));
  BOOST_REQUIRE(replica.find("b") != nullptr);
}

// Guards against a watch that misses a change without any sign of it.
BOOST_FIXTURE_TEST_CASE(all_items_are_listed_periodically, fixture) {
  clock.run_for(seconds(25));
  const auto lists =
      std::count_if(answers.begin(), answers.end(),
                    [](const auto& each) { return each.complete; });
  BOOST_CHECK_EQUAL(lists, 3);
}

// Guards against retrying a failing store without backoff.
BOOST_FIXTURE_TEST_CASE(failures_are_retried_with_backoff, fixture) {
  clock.run_for(milliseconds(200));
  client.fault = store_fault::refuses;
  clock.run_for(seconds(10));
  BOOST_CHECK_LE(failures, 14);
  client.fault = store_fault::none;
  store.put("b", "2");
  clock.run_for(milliseconds(1200));
  BOOST_CHECK(replica.find("b") != nullptr);
}

// Guards against treating the first page of a list as the whole list.
BOOST_FIXTURE_TEST_CASE(all_pages_are_read, fixture) {
  store.page_size = 2;
  for (const auto* key : {"b", "c", "d", "e"}) {
    store.put(key, "1");
  }
  clock.run_for(milliseconds(200));
  BOOST_CHECK_EQUAL(replica.size(), 5U);
  BOOST_CHECK_EQUAL(answers.front().items.size(), 5U);
}

// Guards against missing a change between two pages.
BOOST_FIXTURE_TEST_CASE(changes_between_pages_are_received, fixture) {
  store.page_size = 1;
  for (const auto* key : {"b", "c", "d"}) {
    store.put(key, "1");
  }
  clock.run_for(milliseconds(10));
  store.remove("a");
  clock.run_for(milliseconds(200));
  BOOST_CHECK(replica.find("a")->removed);
}

// Guards against a first list at full price, which every process of a large
// fleet makes at the same time, and against outdated items in it.
BOOST_FIXTURE_TEST_CASE(the_first_list_is_stale_and_caught_up, fixture) {
  mode = follow_mode::idle;
  client.fault = store_fault::refuses;
  store.page_size = 2;
  store.stale_lag = seconds(3);
  for (const auto* key : {"b", "c", "d", "e"}) {
    store.put(key, "1");
  }
  clock.run_for(seconds(4));
  store.put("c", "2");
  store.remove("d");
  client.fault = store_fault::none;
  clock.run_for(seconds(2));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_CHECK(answers[0].complete);
  BOOST_CHECK_EQUAL(replica.find("c")->value, "2");
  BOOST_CHECK_EQUAL(replica.find("e")->value, "1");
  BOOST_CHECK(replica.find("d")->removed);
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against a wasted call when the stale list is empty.
BOOST_FIXTURE_TEST_CASE(an_empty_stale_list_is_replaced_at_once, fixture) {
  mode = follow_mode::idle;
  store.stale_lag = seconds(1);
  clock.run_for(milliseconds(200));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_CHECK_EQUAL(replica.find("a")->value, "1");
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against stale items that stay because the changes since have been
// dropped.
BOOST_FIXTURE_TEST_CASE(a_stale_list_without_history_is_not_used, fixture) {
  mode = follow_mode::idle;
  clock.run_for(milliseconds(1));
  store.stale_lag = milliseconds(50);
  store.put("a", "2");
  store.drop_history();
  clock.run_for(milliseconds(200));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_CHECK_EQUAL(replica.find("a")->value, "2");
}

// Guards against members that list all items when they take over from a reader
// that has failed, as many do at the same time after an outage of the store.
BOOST_FIXTURE_TEST_CASE(a_new_reader_catches_up_without_a_list, fixture) {
  mode = follow_mode::idle;
  clock.run_for(seconds(15));
  store.put("b", "2");
  store.remove("a");
  mode = follow_mode::follow;
  clock.run_for(seconds(2));
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK_EQUAL(replica.find("b")->value, "2");
  BOOST_CHECK_EQUAL(
      std::count_if(answers.begin(), answers.end(),
                    [](const auto& each) { return each.complete; }),
      1);
}

// Guards against a follower that goes on watching from a revision of a lost
// history, whether the restored store still has that number, does not, or gives
// it out again.
BOOST_FIXTURE_TEST_CASE(a_restored_store_is_listed_once, fixture) {
  for (const int writes_after : {0, 1, 2}) {
    clock.run_for(seconds(2));
    store.put("b", "lost");
    clock.run_for(seconds(1));
    store.restore(milliseconds(1500));
    for (int i = 0; i < writes_after; ++i) {
      store.put("c", std::to_string(writes_after) + std::to_string(i));
    }
    const auto calls = client.calls;
    answers.clear();
    clock.run_for(seconds(4));
    BOOST_CHECK(replica.at() == store.at());
    BOOST_CHECK_LE(client.calls - calls, 10);
    const auto listed =
        std::find_if(answers.begin(), answers.end(),
                     [](const auto& each) { return each.complete; });
    BOOST_REQUIRE(listed != answers.end());
    for (const auto& item : listed->items) {
      BOOST_CHECK(item.restored);
    }
    BOOST_CHECK_EQUAL(store.value_at("c"),
                      writes_after == 0 ? "" : replica.find("c")->value);
  }
}

// Guards against a list that mixes the pages of two eras.
BOOST_FIXTURE_TEST_CASE(pages_of_two_eras_are_not_mixed, fixture) {
  store.page_size = 1;
  mode = follow_mode::idle;
  for (const auto* key : {"b", "c", "d"}) {
    store.put(key, "lost");
  }
  clock.run_for(seconds(1));
  store.put("e", "lost");
  store.drop_history();
  mode = follow_mode::follow;
  clock.run_for(milliseconds(70));
  store.restore(milliseconds(1069));
  clock.run_for(seconds(3));
  BOOST_CHECK(replica.at().era == store.era());
  for (const auto* key : {"b", "c", "d", "e"}) {
    const auto* found = replica.find(key);
    BOOST_CHECK(found == nullptr || found->removed ||
                !store.value_at(key).empty());
  }
}

}  // namespace
}  // namespace rosemarydrum
