#define BOOST_TEST_MODULE flow_time_estimate
#include "rosemarydrum/forwarding/flow_time_estimate.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

flow_time_estimate of(milliseconds took, int count) {
  flow_time_estimate estimate;
  for (int i = 0; i < count; ++i) {
    estimate.add(took, start);
  }
  return estimate;
}

// Guards against load on an upstream that has turned slow, and against an
// estimate that keeps it out for good.
BOOST_AUTO_TEST_CASE(slow_upstreams_are_known_and_tried_again) {
  const auto usual = of(milliseconds(50), 100);
  const auto slow = of(milliseconds(300), 20);
  BOOST_CHECK_CLOSE(slow.slowness(usual, start), 6.0, 5.0);
  BOOST_CHECK_LT(slow.slowness(usual, start + seconds(8)), 1.2);
}

// Guards against an order by chance among upstreams that are equally good.
BOOST_AUTO_TEST_CASE(the_spread_of_work_does_not_count) {
  const auto usual = of(milliseconds(50), 100);
  BOOST_CHECK_EQUAL(of(milliseconds(90), 20).slowness(usual, start), 1.0);
  BOOST_CHECK_EQUAL(of(milliseconds(20), 20).slowness(usual, start), 1.0);
}

// Guards against a judgement by one flow.
BOOST_AUTO_TEST_CASE(few_flows_say_nothing) {
  const auto usual = of(milliseconds(50), 100);
  BOOST_CHECK_EQUAL(of(milliseconds(900), 2).slowness(usual, start), 1.0);
  BOOST_CHECK_EQUAL(usual.slowness(flow_time_estimate(), start), 1.0);
}

}  // namespace
}  // namespace rosemarydrum
