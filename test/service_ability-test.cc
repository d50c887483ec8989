#define BOOST_TEST_MODULE service_ability
#include "rosemarydrum/forwarding/service_ability.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

time_point at(int ms) { return start + milliseconds(ms); }

/// Failures 10 ms apart from `from_ms` on.
void fail(service_ability& ability, int from_ms, int count) {
  for (int i = 0; i < count; ++i) {
    ability.on_failed(at(from_ms + 10 * i));
  }
}

// Guards against a forwarder that keeps callers although it reaches nothing.
BOOST_AUTO_TEST_CASE(failures_alone_make_it_unable) {
  service_ability ability;
  ability.set_confirmed(start);
  for (int i = 0; i < 20; ++i) {
    ability.on_opened(at(10 * i));
  }
  BOOST_CHECK(!ability.is_unable(at(200)));
  fail(ability, 500, 20);
  BOOST_CHECK(ability.is_unable(at(700)));
}

// Guards against leaving rotation because of a few callers, or of one of
// several services.
BOOST_AUTO_TEST_CASE(a_part_of_failures_does_not) {
  service_ability ability;
  fail(ability, 0, 3);
  BOOST_CHECK(!ability.is_unable(at(40)));
  for (int i = 0; i < 100; ++i) {
    ability.on_failed(at(100 + 10 * i));
    ability.on_opened(at(105 + 10 * i));
  }
  BOOST_CHECK(!ability.is_unable(at(1200)));
}

// Guards against a forwarder that never comes back, as without callers nothing
// can be seen, and against one that comes back too often.
BOOST_AUTO_TEST_CASE(it_is_tried_again_after_growing_pauses) {
  service_ability ability;
  ability.set_confirmed(at(100'000));
  fail(ability, 0, 10);
  BOOST_CHECK(ability.is_unable(at(2900)));
  BOOST_CHECK(!ability.is_unable(at(3200)));
  fail(ability, 3200, 10);
  BOOST_CHECK(ability.is_unable(at(8000)));
  BOOST_CHECK(!ability.is_unable(at(9500)));
}

// Guards against tries while the process is cut off and nothing has changed.
BOOST_AUTO_TEST_CASE(a_process_that_is_cut_off_stays_out) {
  service_ability ability;
  ability.set_confirmed(start);
  fail(ability, 0, 10);
  BOOST_CHECK(ability.is_unable(at(6000)));
  ability.set_confirmed(at(6000));
  BOOST_CHECK(!ability.is_unable(at(6000)));
}

// Guards against a pause that goes on after the first success.
BOOST_AUTO_TEST_CASE(success_or_a_reset_ends_it) {
  service_ability ability;
  ability.set_confirmed(at(100'000));
  fail(ability, 0, 10);
  for (int i = 0; i < 3; ++i) {
    ability.on_opened(at(2000 + i));
  }
  BOOST_CHECK(!ability.is_unable(at(2010)));
  fail(ability, 2500, 10);
  BOOST_CHECK(ability.is_unable(at(2600)));
  ability.reset();
  BOOST_CHECK(!ability.is_unable(at(2600)));
}

}  // namespace
}  // namespace rosemarydrum
