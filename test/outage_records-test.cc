#define BOOST_TEST_MODULE outage_records
#include "rosemarydrum/spread/outage_records.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fake_kv_store.h"

namespace rosemarydrum {
namespace {

constexpr std::string_view operators_prefix = "out/";
constexpr milliseconds cold_time{4000};

/// Members of three data centres that follow the store.
struct fixture {
  void run(duration time, bool is_reading = true) {
    for (duration passed{0}; passed < time; passed += milliseconds(50)) {
      const auto now = clock.now();
      for (std::size_t rank = 0; rank < members.size(); ++rank) {
        members[rank].tick(is_reading, rank, cold_time, now);
      }
      clock.run_for(milliseconds(50));
      tell_members();
    }
  }
  void tell_members() {
    for (const std::string key : {"out/south", "rosemarydrum/outages/south"}) {
      const auto value = store.value_at(key);
      const bool is_present = !value.empty();
      if (is_present != known[key]) {
        known[key] = is_present;
        kv_item item{key, value, revision(++last)};
        client.get(key, read_freshness::linearizable,
                   [&](const kv_read_result& read) {
                     if (!read.items.empty()) {
                       item.changed = read.items.front().changed;
                     }
                   });
        clock.run_for(milliseconds(10));
        item.removed = !is_present;
        for (auto& each : members) {
          each.on_item(item, clock.now());
        }
      }
    }
  }
  bool is_recorded() const {
    return !store.value_at("rosemarydrum/outages/south").empty();
  }

  scheduler clock;
  fake_kv_store store{clock};
  fake_kv_client client{store, clock};
  std::array<outage_records, 3> members{
      outage_records(client, operators_prefix),
      outage_records(client, operators_prefix),
      outage_records(client, operators_prefix)};
  std::map<std::string, bool> known;
  std::uint64_t last = 100;
};

// FAILBACK: guards against a data centre that was out without a trace for
// processes that start after its return.
BOOST_FIXTURE_TEST_CASE(records_outlast_the_return, fixture) {
  store.put("out/south", "{}");
  run(milliseconds(300));
  BOOST_CHECK(is_recorded());
  run(seconds(8));
  store.remove("out/south");
  run(milliseconds(3900));
  BOOST_CHECK(is_recorded());
  run(milliseconds(400));
  BOOST_CHECK(!is_recorded());
}

// Guards against store calls by each member.
BOOST_FIXTURE_TEST_CASE(one_member_writes, fixture) {
  store.put("out/south", "{}");
  run(seconds(5));
  store.remove("out/south");
  const int reads = client.calls;
  run(seconds(10));
  BOOST_CHECK(!is_recorded());
  // One removal, and the reads of this test.
  BOOST_CHECK_LE(client.calls - reads, 3);
}

// Guards against writes by members that do not follow the store, and against a
// write that is given up because the store is away.
BOOST_FIXTURE_TEST_CASE(failed_writes_are_repeated, fixture) {
  store.put("out/south", "{}");
  run(seconds(2), false);
  BOOST_CHECK(!is_recorded());
  client.fault = store_fault::refuses;
  run(seconds(2));
  client.fault = store_fault::none;
  run(seconds(2));
  BOOST_CHECK(is_recorded());
}

}  // namespace
}  // namespace rosemarydrum
