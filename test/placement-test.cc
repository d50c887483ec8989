#define BOOST_TEST_MODULE placement
#include "rosemarydrum/forwarding/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "fleet/directory_fixture.h"

namespace rosemarydrum {
namespace {

struct fixture : directory_fixture {
  upstream_key choose(time_point now = start,
                      std::optional<upstream_index> avoided = std::nullopt) {
    const auto chosen = tested.choose(
        service.name, service.cold_requests_per_second, avoided, true, now);
    if (!chosen) {
      return {};
    }
    reason = chosen->reason;
    tested.on_placed(chosen->upstream,
                     chosen->reason != placement_reason::least_loaded, now);
    return directory.at(chosen->upstream).record.key;
  }

  void make_silent(upstream_index index, time_point now) {
    tested.on_unanswered(index, now, now);
    tested.on_unanswered(index, now + microseconds(1), now);
  }

  fleet_service service{"desk", milliseconds(2000), 0};
  placement tested{{.self = "node-1", .data_centre = "north"}, directory};
  placement_reason reason{};
};

// Guards against uneven load: each flow goes to the upstream with the fewest.
BOOST_FIXTURE_TEST_CASE(flows_are_spread_evenly, fixture) {
  for (std::uint64_t key = 1; key <= 4; ++key) {
    add(key, "north");
  }
  std::map<upstream_key, int> counts;
  for (int i = 0; i < 40; ++i) {
    ++counts[choose()];
  }
  for (const auto& [key, count] : counts) {
    BOOST_CHECK_EQUAL(count, 10);
  }
}

// Guards against costly flows between data centres while there is room at
// home, and against queues at home while there is room elsewhere.
BOOST_FIXTURE_TEST_CASE(own_data_centre_first, fixture) {
  add(1, "north");
  add(2, "south");
  BOOST_CHECK(choose() == upstream_key(1));
  int remote = 0;
  for (int i = 0; i < 9; ++i) {
    remote += choose() == upstream_key(2) ? 1 : 0;
  }
  BOOST_CHECK_GT(remote, 2);
}

// Guards against flows at upstreams that leave, or whose data centre is out.
BOOST_FIXTURE_TEST_CASE(leaving_and_evacuated_upstreams_get_none, fixture) {
  add(1, "north", milliseconds(0), true);
  add(2, "south");
  tested.set_out("south", true);
  BOOST_CHECK(choose() == upstream_key{});
  tested.set_out("south", false);
  BOOST_CHECK(choose() == upstream_key(2));
  const auto census = tested.census("desk", start);
  BOOST_CHECK_EQUAL(census.draining, 1U);
  BOOST_CHECK_EQUAL(census.listed, 2U);
}

// Guards against load on cold upstreams while warm ones can take it.
BOOST_FIXTURE_TEST_CASE(cold_upstreams_come_last, fixture) {
  add(1, "north", milliseconds(2000));
  add(2, "north");
  for (int i = 0; i < 20; ++i) {
    BOOST_CHECK(choose() == upstream_key(2));
  }
  BOOST_CHECK(choose(at(2000)) == upstream_key(1));
}

// Guards against more than this process's share of what a cold upstream bears.
BOOST_FIXTURE_TEST_CASE(cold_upstreams_alone_get_their_share, fixture) {
  add(1, "north", milliseconds(5000));
  BOOST_CHECK(choose() == upstream_key(1));
  BOOST_CHECK(reason == placement_reason::cold);
  BOOST_CHECK(choose(at(100)) == upstream_key{});
  const auto period = fleet_share::sponsor_period(5);
  BOOST_CHECK(choose(start + period) == upstream_key(1));
}

// Guards against the full load of a service that states what cold ones bear.
BOOST_FIXTURE_TEST_CASE(services_may_state_what_cold_upstreams_bear, fixture) {
  service.cold_requests_per_second = 30;
  add(1, "north", milliseconds(5000));
  int taken = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    taken += choose(at(ms)) == upstream_key(1) ? 1 : 0;
  }
  // 1.5 x 30 + 5, of which two views of the fleet with two sponsors each may be
  // at work.
  BOOST_CHECK_GE(taken, 9);
  BOOST_CHECK_LE(taken, 50 / (2 * static_cast<int>(cold_sponsors)));
}

// Guards against flows at an upstream that does not answer, and against one
// that is never tried again.
BOOST_FIXTURE_TEST_CASE(silent_upstreams_are_tried_now_and_then, fixture) {
  const auto silent = add(1, "north");
  add(2, "north");
  make_silent(silent, start);
  for (int ms = 0; ms < 500; ms += 10) {
    BOOST_CHECK(choose(at(ms)) == upstream_key(2));
  }
  int probes = 0;
  for (int ms = 2500; ms < 10'000; ms += 10) {
    const auto chosen = choose(at(ms));
    if (chosen == upstream_key(1)) {
      BOOST_CHECK(reason == placement_reason::probe);
      ++probes;
      make_silent(silent, at(ms));
      tested.on_ended(silent);
    }
  }
  BOOST_CHECK_GE(probes, 2);
  BOOST_CHECK_LE(probes, 5);
}

// Guards against full load on an upstream that may have been restarted.
BOOST_FIXTURE_TEST_CASE(silent_upstreams_are_spared_when_they_answer, fixture) {
  const auto silent = add(1, "north");
  add(2, "north");
  make_silent(silent, start);
  BOOST_CHECK(tested.on_answered(silent, service.warmup, at(400), at(400)));
  for (int ms = 400; ms < 2400; ms += 50) {
    BOOST_CHECK(choose(at(ms)) == upstream_key(2));
  }
  BOOST_CHECK(choose(at(2400)) == upstream_key(1));
}

// Guards against upstreams that stay out after this process was cut off.
BOOST_FIXTURE_TEST_CASE(silence_is_forgotten_after_a_cut, fixture) {
  const auto first = add(1, "north");
  make_silent(first, start);
  BOOST_CHECK_EQUAL(tested.census("desk", start).unreachable, 1U);
  tested.forget_silence();
  BOOST_CHECK(choose(at(10)) == upstream_key(1));
}

// Guards against new flows in an upstream that became slow.
BOOST_FIXTURE_TEST_CASE(slow_upstreams_get_fewer_flows, fixture) {
  const auto slow = add(1, "north");
  const auto quick = add(2, "north");
  for (int i = 0; i < 10; ++i) {
    tested.on_flow_time(quick, milliseconds(50), start);
    tested.on_flow_time(quick, milliseconds(50), start);
    tested.on_flow_time(slow, milliseconds(400), start);
  }
  int at_slow = 0;
  for (int i = 0; i < 12; ++i) {
    at_slow += choose() == upstream_key(1) ? 1 : 0;
  }
  BOOST_CHECK_LE(at_slow, 4);
}

// Guards against flows to the cold upstreams of a data centre that is back,
// before their entries say that they are cold.
BOOST_FIXTURE_TEST_CASE(a_data_centre_may_be_spared, fixture) {
  add(1, "south");
  add(2, "north");
  tested.spare("south", milliseconds(3000), start);
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK(choose(at(2999)) == upstream_key(2));
  }
  BOOST_CHECK(choose(at(3000)) == upstream_key(1));
}

// Guards against a second try at the upstream that has just not answered.
BOOST_FIXTURE_TEST_CASE(the_avoided_upstream_comes_last, fixture) {
  const auto first = add(1, "north");
  add(2, "south");
  BOOST_CHECK(choose(start, first) == upstream_key(2));
  tested.set_out("south", true);
  BOOST_CHECK(choose(start, first) == upstream_key(1));
  BOOST_CHECK(!tested.choose(service.name, 0, first, false, start));
}

// Guards against flows to upstreams that fail them while others are left, and
// against refusals when none are.
BOOST_FIXTURE_TEST_CASE(ejected_upstreams_come_last, fixture) {
  for (std::uint64_t key = 1; key <= 3; ++key) {
    add(key, "north");
  }
  BOOST_CHECK(tested.on_failures(*directory.find(upstream_key(1)), 9, start));
  for (int i = 0; i < 20; ++i) {
    BOOST_CHECK(choose() != upstream_key(1));
  }
  tested.set_out("north", true);
  BOOST_CHECK(choose() == upstream_key{});
  tested.set_out("north", false);
  for (const std::uint64_t key : {2, 3}) {
    make_silent(*directory.find(upstream_key(key)), start);
  }
  BOOST_CHECK(choose() == upstream_key(1));
}

}  // namespace
}  // namespace rosemarydrum
