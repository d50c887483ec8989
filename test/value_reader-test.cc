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

  /// Writes a value to the store and announces it to the replica.
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
  value_reader reader{client, replica, [this](const item_listing& listing) {
                        replica.apply(listing, clock.now());
                      }};
};

// Guards against a linearizable read, at its full cost, where a stale one
// suffices.
BOOST_FIXTURE_TEST_CASE(a_sufficiently_new_stale_read_is_accepted, fixture) {
  announce("1");
  clock.run_for(milliseconds(200));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "1");
  BOOST_CHECK_EQUAL(client.calls, 0);
  BOOST_CHECK_EQUAL(client.stale_calls, 1);
}

// Guards against accepting an older value than the announced one, and against
// endless stale reads.
BOOST_FIXTURE_TEST_CASE(outdated_answers_cause_a_linearizable_read, fixture) {
  announce("1");
  clock.run_for(seconds(1));
  store.stale_lag = seconds(10);
  announce("2");
  clock.run_for(milliseconds(700));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "2");
  BOOST_CHECK_EQUAL(client.calls, 1);
}

// Guards against one call for each of many versions in quick succession.
BOOST_FIXTURE_TEST_CASE(versions_in_quick_succession_share_calls, fixture) {
  for (int i = 0; i < 25; ++i) {
    announce(std::to_string(i));
    clock.run_for(milliseconds(60));
  }
  clock.run_for(seconds(1));
  BOOST_CHECK_EQUAL(replica.find("long")->value, "24");
  BOOST_CHECK_LE(client.stale_calls, 12);
}

// Guards against calls while no value is missing.
BOOST_FIXTURE_TEST_CASE(nothing_is_read_while_no_value_is_missing, fixture) {
  clock.run_for(seconds(5));
  BOOST_CHECK_EQUAL(client.stale_calls + client.calls, 0);
}

}  // namespace
}  // namespace rosemarydrum
