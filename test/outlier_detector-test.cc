#define BOOST_TEST_MODULE outlier_detector
#include "rosemarydrum/forwarding/outlier_detector.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

struct fixture {
  bool fail(std::uint32_t upstream, std::uint32_t count,
            time_point now = start) {
    return tested.add(upstream_index(upstream), count, service, now);
  }

  std::vector<upstream_index> service{upstream_index(0), upstream_index(1),
                                      upstream_index(2), upstream_index(3),
                                      upstream_index(4), upstream_index(5),
                                      upstream_index(6), upstream_index(7)};
  outlier_detector tested;
};

// Guards against an upstream that fails flows but stays in use because it
// answers handshakes, and against an ejection after only two failures.
BOOST_FIXTURE_TEST_CASE(outliers_are_ejected, fixture) {
  BOOST_CHECK(!fail(3, 2));
  BOOST_CHECK(!tested.is_ejected(upstream_index(3)));
  BOOST_CHECK(fail(3, 1));
  BOOST_CHECK(tested.is_ejected(upstream_index(3)));
  BOOST_CHECK(!fail(3, 1));
  BOOST_CHECK(!tested.is_ejected(upstream_index(2)));
}

// Guards against lost capacity when all upstreams fail alike, for example under
// overload or when responses cannot reach the callers.
BOOST_FIXTURE_TEST_CASE(common_failures_eject_none, fixture) {
  for (int round = 0; round < 10; ++round) {
    for (std::uint32_t upstream = 0; upstream < 8; ++upstream) {
      BOOST_CHECK(!fail(upstream, 1));
    }
  }
}

// Guards against cascading ejections under overload: the flows of each ejected
// upstream add to the load of the others.
BOOST_FIXTURE_TEST_CASE(overload_ejects_few, fixture) {
  std::minstd_rand random(7);
  std::size_t ejections = 0;
  for (int i = 0; i < 400; ++i) {
    ejections += fail(random() % 8, 1, start + milliseconds(25 * i)) ? 1 : 0;
  }
  BOOST_CHECK_LE(ejections, 1U);
}

// Guards against more ejections than the remaining upstreams can absorb.
BOOST_FIXTURE_TEST_CASE(at_most_a_third_is_ejected, fixture) {
  BOOST_CHECK(fail(0, 20));
  BOOST_CHECK(fail(1, 60));
  BOOST_CHECK(!fail(2, 200));
}

// Guards against upstreams that stay ejected after they have recovered.
BOOST_FIXTURE_TEST_CASE(ejected_upstreams_return, fixture) {
  fail(3, 5);
  std::vector<upstream_index> restored;
  const auto record = [&](upstream_index each) { restored.push_back(each); };
  tested.restore(start + seconds(2), record);
  BOOST_CHECK(restored.empty());
  tested.restore(start + seconds(6), record);
  BOOST_CHECK(restored == std::vector{upstream_index(3)});
  BOOST_CHECK(!tested.is_ejected(upstream_index(3)));
  BOOST_CHECK(fail(3, 3, start + seconds(6)));
  tested.forget(upstream_index(3));
  BOOST_CHECK(!tested.is_ejected(upstream_index(3)));
}

}  // namespace
}  // namespace rosemarydrum
