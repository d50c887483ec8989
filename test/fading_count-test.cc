#define BOOST_TEST_MODULE fading_count
#include "rosemarydrum/forwarding/fading_count.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against events that are forgotten too soon, or never.
BOOST_AUTO_TEST_CASE(events_fade) {
  const time_point start{seconds(100)};
  fading_count tested(seconds(2));
  tested.add(4, start);
  BOOST_CHECK_EQUAL(tested.at(start), 4);
  BOOST_CHECK_GT(tested.at(start + seconds(1)), 2);
  tested.add(1, start + seconds(1));
  BOOST_CHECK_GT(tested.at(start + seconds(1)), 3);
  BOOST_CHECK_LT(tested.at(start + seconds(10)), 0.1);
}

}  // namespace
}  // namespace rosemarydrum
