#define BOOST_TEST_MODULE overload_control
#include "rosemarydrum/overload/overload_control.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace rosemarydrum {
namespace {

constexpr std::uint8_t urgent = 1;
constexpr std::uint8_t normal = 2;
const std::string desk = "desk";

/// Callers of two priorities and upstreams that together answer `capacity`
/// requests in each interval of 250 ms and reject the rest. Most of the normal
/// requests come on flows that are open, the others open one; a rejected
/// request opens one to try again.
struct load {
  static constexpr std::uint32_t upstreams = 40;

  /// Runs one interval. Returns how many requests were answered.
  int run(int urgent_requests, int open_normal, int new_normal, int capacity) {
    now += milliseconds(250);
    int wanted_normal = wanted = new_normal + retries;
    refused = 0;
    for (int i = wanted_normal; i > 0; --i) {
      refused += tested.admits(desk, normal, now) ? 0 : 1;
    }
    wanted_normal += open_normal - refused;
    for (int i = 0; i < urgent_requests; ++i) {
      refused_urgent += tested.admits(desk, urgent, now) ? 0 : 1;
    }
    const int offered = urgent_requests + wanted_normal;
    const int rejected = std::max(0, offered - capacity);
    retries = rejected * wanted_normal / std::max(offered, 1);
    for (int i = 0; i < offered; ++i) {
      // Spreads the rejected requests evenly.
      const bool is_rejected =
          (i + 1) * rejected / offered != i * rejected / offered;
      tested.on_answer(desk, i < urgent_requests ? urgent : normal,
                       upstream_index(next++ % upstreams), is_rejected, now);
    }
    last_rejected = rejected;
    for (const auto& change : tested.adjust(now)) {
      changes.push_back(change);
    }
    return offered - rejected;
  }

  overload_control tested;
  time_point now{seconds(100)};
  std::uint32_t next = 0;
  int retries = 0;
  /// New flows of normal requests in the last interval.
  int wanted = 0;
  int refused = 0;
  int refused_urgent = 0;
  int last_rejected = 0;
  std::vector<limit_change> changes;
};

// Guards against refusals while the upstreams have room, also in a burst that
// makes them reject a few.
BOOST_FIXTURE_TEST_CASE(all_flows_are_admitted_with_room, load) {
  for (int i = 0; i < 40; ++i) {
    run(50, 40, 60, i % 4 == 0 ? 140 : 200);
    BOOST_CHECK_EQUAL(refused, 0);
  }
  BOOST_CHECK(changes.empty());
}

// Guards against retries of normal requests that take the
// room of urgent ones.
BOOST_FIXTURE_TEST_CASE(retries_are_limited_in_an_overload, load) {
  for (int i = 0; i < 40; ++i) {
    const int answered = run(60, 80, 100, 150);
    if (i >= 12) {
      // At most a quarter of the offered requests is rejected.
      BOOST_CHECK_LE(last_rejected * 4, answered + last_rejected);
    }
  }
  BOOST_CHECK_EQUAL(refused_urgent, 0);
  BOOST_CHECK_LT(tested.admitted_share(desk, normal), 0.8);
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_CHECK(changes[0].limited);
  BOOST_CHECK_EQUAL(changes[0].priority, normal);
}

// Guards against free upstreams while flows are refused.
BOOST_FIXTURE_TEST_CASE(upstreams_stay_busy_in_an_overload, load) {
  for (int i = 0; i < 60; ++i) {
    const int answered = run(60, 0, 200, 150);
    if (i >= 20) {
      BOOST_CHECK_GE(answered, 140);
    }
  }
}

// Guards against an overload that lasts after its cause has ended.
BOOST_FIXTURE_TEST_CASE(the_limit_ends_after_the_overload, load) {
  for (int i = 0; i < 40; ++i) {
    run(60, 80, 100, 150);
  }
  for (int i = 0; i < 24; ++i) {
    run(10, 20, 20, 150);
  }
  BOOST_CHECK_EQUAL(tested.admitted_share(desk, normal), 1.0);
  BOOST_CHECK(!changes.back().limited);
}

// Guards against a limit that refuses more flows than its share tells.
BOOST_FIXTURE_TEST_CASE(the_admitted_share_is_exact, load) {
  for (int i = 0; i < 20; ++i) {
    run(60, 80, 100, 190);
    const double share = tested.admitted_share(desk, normal);
    int admitted = 0;
    for (int flow = 0; flow < 1000; ++flow) {
      admitted += tested.admits(desk, normal, now) ? 1 : 0;
    }
    BOOST_CHECK_LE(std::abs(admitted - 1000 * share), 1.5);
  }
}

// Guards against a class that is refused as a whole, and then admitted as a
// whole because it has no traffic left.
BOOST_FIXTURE_TEST_CASE(no_class_is_starved, load) {
  for (int i = 0; i < 80; ++i) {
    run(300, 0, 100, 150);
    BOOST_CHECK_LT(refused, wanted);
  }
}

// Guards against a limit that stays when the urgent routes have no traffic any
// more.
BOOST_FIXTURE_TEST_CASE(the_last_class_with_traffic_is_admitted, load) {
  for (int i = 0; i < 40; ++i) {
    run(60, 80, 100, 150);
  }
  for (int i = 0; i < 60; ++i) {
    run(0, 80, 100, 150);
  }
  BOOST_CHECK_EQUAL(refused, 0);
}

// Guards against limits because of faulty upstreams.
BOOST_FIXTURE_TEST_CASE(faulty_upstreams_are_no_overload, load) {
  for (int i = 0; i < 4000; ++i) {
    const auto upstream = next++ % upstreams;
    tested.on_answer(desk, i % 2 == 0 ? urgent : normal,
                     upstream_index(upstream), upstream < 10, now);
    now += milliseconds(2);
    BOOST_CHECK(tested.adjust(now).empty());
  }
}

// Guards against refusals where no route is more urgent: they would only
// replace the rejections of upstreams.
BOOST_FIXTURE_TEST_CASE(a_single_priority_is_not_limited, load) {
  for (int i = 0; i < 40; ++i) {
    run(0, 80, 200, 150);
    BOOST_CHECK_EQUAL(refused, 0);
  }
}

// Guards against limits of urgent routes because a route with hardly any
// traffic has a higher priority, and against refusing flows of routes that were
// just added.
BOOST_FIXTURE_TEST_CASE(routes_without_traffic_do_not_count, load) {
  constexpr std::uint8_t highest = 0;
  tested.on_answer(desk, highest, upstream_index(0), false, now);
  for (int i = 0; i < 40; ++i) {
    run(60, 80, 100, 150);
    BOOST_CHECK(tested.admits(desk, highest, now));
    BOOST_CHECK(tested.admits("vault", normal, now));
  }
  BOOST_CHECK_EQUAL(refused_urgent, 0);
}

}  // namespace
}  // namespace rosemarydrum
