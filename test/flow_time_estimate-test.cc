#define BOOST_TEST_MODULE flow_time_estimate
#include "rosemarydrum/forwarding/flow_time_estimate.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

flow_time_estimate estimate_of(milliseconds took, int count) {
  flow_time_estimate estimate;
  for (int i = 0; i < count; ++i) {
    estimate.add(took, start);
  }
  return estimate;
}

// Guards against full load on an upstream that has become slow, and against an
// estimate that keeps new flows from it forever.
BOOST_AUTO_TEST_CASE(slowness_is_detected_and_decays) {
  const auto usual = estimate_of(milliseconds(50), 100);
  const auto slow = estimate_of(milliseconds(300), 20);
  BOOST_CHECK_CLOSE(slow.slowness(usual, start), 6.0, 5.0);
  BOOST_CHECK_LT(slow.slowness(usual, start + seconds(8)), 1.2);
}

// Guards against preferences between equally fast upstreams because of normal
// variation of their flow times.
BOOST_AUTO_TEST_CASE(small_differences_are_ignored) {
  const auto usual = estimate_of(milliseconds(50), 100);
  BOOST_CHECK_EQUAL(estimate_of(milliseconds(90), 20).slowness(usual, start),
                    1.0);
  BOOST_CHECK_EQUAL(estimate_of(milliseconds(20), 20).slowness(usual, start),
                    1.0);
}

// Guards against an estimate from too few flows.
BOOST_AUTO_TEST_CASE(few_flows_are_not_judged) {
  const auto usual = estimate_of(milliseconds(50), 100);
  BOOST_CHECK_EQUAL(estimate_of(milliseconds(900), 2).slowness(usual, start),
                    1.0);
  BOOST_CHECK_EQUAL(usual.slowness(flow_time_estimate(), start), 1.0);
}

}  // namespace
}  // namespace rosemarydrum
