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
  store_follower follower{client,
                          replica,
                          {},
                          {[this](const item_listing& shown, time_point asked) {
                             answers.push_back(shown);
                             replica.apply(shown, clock.now());
                             replica.confirm(asked);
                           },
                           [this](error_kind) { ++failures; }}};
};

// Guards against a start that waits for a change.
BOOST_FIXTURE_TEST_CASE(everything_is_listed_first, fixture) {
  mode = follow_mode::idle;
  clock.run_for(milliseconds(100));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_CHECK(answers[0].complete);
  BOOST_CHECK_EQUAL(replica.find("a")->value, "1");
  clock.run_for(seconds(5));
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against changes that are heard of late, and against a call for each
// of many.
BOOST_FIXTURE_TEST_CASE(changes_are_heard_of_at_once, fixture) {
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

// Guards against knowledge that grows old while nothing changes.
BOOST_FIXTURE_TEST_CASE(each_watch_confirms_what_is_known, fixture) {
  for (int i = 0; i < 100; ++i) {
    clock.run_for(milliseconds(100));
    BOOST_CHECK(clock.now() - replica.confirmed_at() < milliseconds(1400));
  }
}

// Guards against changes that are lost with the store's history.
BOOST_FIXTURE_TEST_CASE(lost_history_leads_to_a_new_list, fixture) {
  clock.run_for(milliseconds(500));
  store.watches_are_deaf = true;
  store.remove("a");
  store.put("b", "2");
  store.watches_are_deaf = false;
  store.drop_history();
  clock.run_for(seconds(2));
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK_EQUAL(replica.find("b")->value, "2");
}

// Guards against a watch that answers with a later revision and leaves out the
// changes up to it.
BOOST_FIXTURE_TEST_CASE(empty_answers_that_skip_changes_are_not_believed,
                        fixture) {
  clock.run_for(milliseconds(200));
  store.watches_are_deaf = true;
  store.put("b", "2");
  clock.run_for(milliseconds(1300));
  BOOST_REQUIRE(replica.find("b") != nullptr);
}

// Guards against a watch that has left something out without a trace.
BOOST_FIXTURE_TEST_CASE(everything_is_listed_again_now_and_then, fixture) {
  clock.run_for(seconds(25));
  const auto lists =
      std::count_if(answers.begin(), answers.end(),
                    [](const auto& each) { return each.complete; });
  BOOST_CHECK_EQUAL(lists, 3);
}

// Guards against a store in trouble that is asked as fast as it fails.
BOOST_FIXTURE_TEST_CASE(failures_are_retried_with_growing_pauses, fixture) {
  clock.run_for(milliseconds(200));
  client.fault = store_fault::refuses;
  clock.run_for(seconds(10));
  BOOST_CHECK_LE(failures, 14);
  client.fault = store_fault::none;
  store.put("b", "2");
  clock.run_for(milliseconds(1200));
  BOOST_CHECK(replica.find("b") != nullptr);
}

// Guards against pages of a list that are taken for the whole.
BOOST_FIXTURE_TEST_CASE(all_pages_are_read, fixture) {
  store.page_size = 2;
  for (const auto* key : {"b", "c", "d", "e"}) {
    store.put(key, "1");
  }
  clock.run_for(milliseconds(200));
  BOOST_CHECK_EQUAL(replica.size(), 5U);
  BOOST_CHECK_EQUAL(answers.front().items.size(), 5U);
}

// Guards against a change between two pages that is never heard of.
BOOST_FIXTURE_TEST_CASE(changes_between_pages_are_heard_of, fixture) {
  store.page_size = 1;
  for (const auto* key : {"b", "c", "d"}) {
    store.put(key, "1");
  }
  clock.run_for(milliseconds(10));
  store.remove("a");
  clock.run_for(milliseconds(200));
  BOOST_CHECK(replica.find("a")->removed);
}

}  // namespace
}  // namespace rosemarydrum
