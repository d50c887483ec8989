#define BOOST_TEST_MODULE round_trip_estimate
#include "rosemarydrum/forwarding/round_trip_estimate.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against a time-out before anything is known.
BOOST_AUTO_TEST_CASE(without_samples_there_is_no_timeout) {
  BOOST_CHECK(round_trip_estimate().timeout() == duration(0));
}

// Guards against time-outs far above a steady round trip.
BOOST_AUTO_TEST_CASE(steady_round_trips_give_a_close_timeout) {
  round_trip_estimate tested;
  for (int i = 0; i < 50; ++i) {
    tested.add(milliseconds(8));
  }
  BOOST_CHECK(tested.timeout() >= milliseconds(8));
  BOOST_CHECK(tested.timeout() <= milliseconds(9));
}

// Guards against repeating each opening packet while packets wait at a full
// link.
BOOST_AUTO_TEST_CASE(the_timeout_follows_a_queue) {
  round_trip_estimate tested;
  for (int i = 0; i < 50; ++i) {
    tested.add(milliseconds(8));
  }
  for (int i = 0; i < 10; ++i) {
    tested.add(milliseconds(70));
  }
  BOOST_CHECK(tested.timeout() > milliseconds(70));
  for (int i = 0; i < 50; ++i) {
    tested.add(milliseconds(8));
  }
  BOOST_CHECK(tested.timeout() < milliseconds(12));
}

}  // namespace
}  // namespace rosemarydrum
