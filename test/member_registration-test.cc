#define BOOST_TEST_MODULE member_registration
#include "rosemarydrum/spread/member_registration.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fake_kv_store.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

struct fixture {
  void start() {
    replica = std::make_unique<item_replica>(seconds(60));
    replica->apply(
        {store.list({}, {}, duration(0)).items, true, {}, store.at()},
        clock.now());
    tested = std::make_unique<member_registration>(client, *replica, self);
    tick(tested.get());
  }
  void tick(member_registration* registration) {
    if (registration == tested.get()) {
      registration->tick(clock.now());
      clock.after(milliseconds(100),
                  [this, registration] { tick(registration); });
    }
  }
  item_listing store_changes() {
    const auto events = store.events_after({}, replica->at());
    return {events.items, false, replica->at(), events.at};
  }
  kv_read_result stored() {
    return store.list(std::string(members_prefix), {}, {});
  }

  member_record self{"node-1", "north", {1, 7700}, 250};
  scheduler clock;
  fake_kv_store store{clock};
  fake_kv_client client{store, clock};
  std::unique_ptr<item_replica> replica;
  std::unique_ptr<member_registration> tested;
};

// Guards against a member that is missing from the store.
BOOST_FIXTURE_TEST_CASE(the_record_is_written, fixture) {
  start();
  clock.run_for(seconds(1));
  BOOST_REQUIRE_EQUAL(stored().items.size(), 1U);
  BOOST_CHECK(decode_member(stored().items[0].key, stored().items[0].value) ==
              self);
  BOOST_CHECK(tested->is_registered());
  BOOST_CHECK(tested->has_written());
}

// Guards against two writes per restart, at thousands of restarts a day.
BOOST_FIXTURE_TEST_CASE(a_restart_keeps_the_record, fixture) {
  start();
  clock.run_for(seconds(1));
  const auto at = store.at();
  const auto calls = client.calls;
  start();
  clock.run_for(seconds(1));
  BOOST_CHECK(store.at() == at);
  BOOST_CHECK_EQUAL(client.calls, calls);
  BOOST_CHECK(tested->is_registered());
  BOOST_CHECK(!tested->has_written());
}

// Guards against an outdated address that stays in the store.
BOOST_FIXTURE_TEST_CASE(an_outdated_record_is_replaced, fixture) {
  start();
  clock.run_for(seconds(1));
  self.address.port = 7701;
  start();
  clock.run_for(seconds(1));
  BOOST_CHECK(decode_member(stored().items[0].key, stored().items[0].value) ==
              self);
}

// Guards against a member that stays unregistered after its lease has ended.
BOOST_FIXTURE_TEST_CASE(an_ended_lease_is_replaced, fixture) {
  start();
  clock.run_for(seconds(1));
  store.end(stored().items[0].lease);
  BOOST_CHECK(stored().items.empty());
  clock.run_for(seconds(21));
  BOOST_CHECK_EQUAL(stored().items.size(), 1U);
}

// Guards against retrying a failing store without backoff.
BOOST_FIXTURE_TEST_CASE(failures_are_retried_with_backoff, fixture) {
  client.fault = store_fault::refuses;
  start();
  clock.run_for(seconds(20));
  BOOST_CHECK_LE(client.calls, 10);
  client.fault = store_fault::none;
  clock.run_for(seconds(6));
  BOOST_CHECK(tested->is_registered());
}

// Guards against renewing a lease that the restored store has given to another
// member, while the own record is lost.
BOOST_FIXTURE_TEST_CASE(a_lost_record_gets_a_lease_of_its_own, fixture) {
  clock.run_for(seconds(1));
  start();
  clock.run_for(seconds(1));
  const auto lost = stored().items[0].lease;
  store.restore(milliseconds(1500));
  BOOST_REQUIRE(store.grant() == lost);
  store.put(member_key("node-2"), "another", lost);
  replica->apply({store.list({}, {}, duration(0)).items, true, {}, store.at()},
                 clock.now());
  clock.run_for(seconds(1));
  BOOST_REQUIRE_EQUAL(stored().items.size(), 2U);
  BOOST_CHECK_EQUAL(stored().items[0].key, member_key("node-1"));
  BOOST_CHECK(stored().items[0].lease != lost);
  BOOST_CHECK(tested->is_registered());
}

// Guards against a write for each member whose record is in the copy.
BOOST_FIXTURE_TEST_CASE(a_record_in_the_copy_is_kept, fixture) {
  start();
  clock.run_for(seconds(2));
  const auto lease = stored().items[0].lease;
  store.restore(seconds(1));
  const auto at = store.at();
  replica->apply({store.list({}, {}, duration(0)).items, true, {}, store.at()},
                 clock.now());
  clock.run_for(seconds(30));
  BOOST_CHECK(store.at() == at);
  BOOST_CHECK(stored().items[0].lease == lease);
  BOOST_CHECK(tested->is_registered());
}

// Guards against a record that stays removed, because its lease goes on.
BOOST_FIXTURE_TEST_CASE(a_removed_record_is_written_again, fixture) {
  start();
  clock.run_for(seconds(1));
  store.remove(member_key("node-1"));
  replica->apply(store_changes(), clock.now());
  clock.run_for(seconds(1));
  BOOST_CHECK_EQUAL(stored().items.size(), 1U);
}

}  // namespace
}  // namespace rosemarydrum
