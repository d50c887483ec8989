#define BOOST_TEST_MODULE decaying_count
#include "rosemarydrum/forwarding/decaying_count.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against events that decay too fast or not at all.
BOOST_AUTO_TEST_CASE(events_decay) {
  const time_point start{seconds(100)};
  decaying_count tested(seconds(2));
  tested.add(4, start);
  BOOST_CHECK_EQUAL(tested.at(start), 4);
  BOOST_CHECK_GT(tested.at(start + seconds(1)), 2);
  tested.add(1, start + seconds(1));
  BOOST_CHECK_GT(tested.at(start + seconds(1)), 3);
  BOOST_CHECK_LT(tested.at(start + seconds(10)), 0.1);
}

}  // namespace
}  // namespace rosemarydrum
