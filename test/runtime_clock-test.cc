#define BOOST_TEST_MODULE runtime_clock
#include "rosemarydrum/runtime_clock.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against tests that depend on real time: a clock under manual_time must
// not move by itself.
BOOST_AUTO_TEST_CASE(stopped_clock_moves_only_when_advanced) {
  manual_time clock(seconds(5));
  const auto start = runtime_clock::now();
  BOOST_CHECK(runtime_clock::now() == start);
  clock.advance(milliseconds(250));
  BOOST_CHECK(runtime_clock::now() - start == milliseconds(250));
  BOOST_CHECK_EQUAL(runtime_clock::to_unix(runtime_clock::now()), 5250U);
}

// Guards against a clock that stays stopped, or that is off from the wall
// clock, after a manual_time has ended.
BOOST_AUTO_TEST_CASE(clock_runs_after_manual_time_ends) {
  const auto first = runtime_clock::now();
  BOOST_CHECK(runtime_clock::now() >= first);
  BOOST_CHECK(runtime_clock::to_unix(first) > 1'600'000'000'000U);
}

}  // namespace
}  // namespace rosemarydrum
