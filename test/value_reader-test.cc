#define BOOST_TEST_MODULE value_reader
#include "rosemarydrum/store/value_reader.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fake_kv_store.h"

namespace rosemarydrum {
namespace {

struct fixture {
  fixture() {
    replica.apply({{}, true, {}, store.at()}, clock.now());
    tick();
  }

  void tick() {
    reader.tick(clock.now());
    clock.after(milliseconds(50), [this] { tick(); });
  }

  /// A member has announced a value that the store now holds.
  revision announce(const std::string& value) {
    const auto changed = store.put("long", value);
    replica.apply({{{"long", {}, changed, false, true, {}}},
                   false,
                   replica.at(),
                   changed},
                  clock.now());
    return changed;
  }

  scheduler clock;
  fake_kv_store store{clock};
  fake_kv_client client{store, clock};
  item_replica replica{seconds(60)};
  value_reader reader{client, replica, [this](const item_listing& shown) {
                        replica.apply(shown, clock.now());
                      }};
};

// Guards against the full price for a value that a stale read shows as well.
BOOST_FIXTURE_TEST_CASE(a_stale_read_that_is_new_enough_will_do, fixture) {
  announce("1");
  clock.run_for(milliseconds(200));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "1");
  BOOST_CHECK_EQUAL(client.calls, 0);
  BOOST_CHECK_EQUAL(client.stale_calls, 1);
}

// Guards against an old value that is taken for the announced one, and against
// waiting for stale reads for ever.
BOOST_FIXTURE_TEST_CASE(old_answers_lead_to_a_linearizable_read, fixture) {
  announce("1");
  clock.run_for(seconds(1));
  store.stale_lag = seconds(10);
  announce("2");
  clock.run_for(milliseconds(700));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "2");
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against a call for each of many versions in quick succession.
BOOST_FIXTURE_TEST_CASE(quick_successions_cost_few_calls, fixture) {
  for (int i = 0; i < 25; ++i) {
    announce(std::to_string(i));
    clock.run_for(milliseconds(60));
  }
  clock.run_for(seconds(1));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "24");
  BOOST_CHECK_LE(client.stale_calls, 12);
}

// Guards against calls while nothing is missing.
BOOST_FIXTURE_TEST_CASE(nothing_is_read_without_need, fixture) {
  clock.run_for(seconds(5));
  BOOST_CHECK_EQUAL(client.stale_calls + client.calls, 0);
}

}  // namespace
}  // namespace rosemarydrum
