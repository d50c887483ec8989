#define BOOST_TEST_MODULE service_ability
#include "rosemarydrum/forwarding/service_ability.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

time_point at(int ms) { return start + milliseconds(ms); }

/// Adds failures 10 ms apart, starting at `from_ms`.
void fail(service_ability& ability, int from_ms, int count) {
  for (int i = 0; i < count; ++i) {
    ability.on_failed(at(from_ms + 10 * i));
  }
}

// Guards against a forwarder that stays in rotation although it reaches no
// upstream.
BOOST_AUTO_TEST_CASE(only_failures_make_it_unable) {
  service_ability ability;
  ability.set_confirmed(start);
  for (int i = 0; i < 20; ++i) {
    ability.on_opened(at(10 * i));
  }
  BOOST_CHECK(!ability.is_unable(at(200)));
  fail(ability, 500, 20);
  BOOST_CHECK(ability.is_unable(at(700)));
}

// Guards against leaving rotation because of the failures of a few callers or
// of one of several services.
BOOST_AUTO_TEST_CASE(some_failures_do_not_make_it_unable) {
  service_ability ability;
  fail(ability, 0, 3);
  BOOST_CHECK(!ability.is_unable(at(40)));
  for (int i = 0; i < 100; ++i) {
    ability.on_failed(at(100 + 10 * i));
    ability.on_opened(at(105 + 10 * i));
  }
  BOOST_CHECK(!ability.is_unable(at(1200)));
}

// Guards against a forwarder that stays unable for ever, because without
// callers it cannot observe its recovery, and against one that is retried too
// often.
BOOST_AUTO_TEST_CASE(becomes_able_after_growing_pauses) {
  service_ability ability;
  ability.set_confirmed(at(100'000));
  fail(ability, 0, 10);
  BOOST_CHECK(ability.is_unable(at(2900)));
  BOOST_CHECK(!ability.is_unable(at(3200)));
  fail(ability, 3200, 10);
  BOOST_CHECK(ability.is_unable(at(8000)));
  BOOST_CHECK(!ability.is_unable(at(9500)));
}

// Guards against a return to rotation while the process is still cut off.
BOOST_AUTO_TEST_CASE(cut_off_process_stays_unable) {
  service_ability ability;
  ability.set_confirmed(start);
  fail(ability, 0, 10);
  BOOST_CHECK(ability.is_unable(at(6000)));
  ability.set_confirmed(at(6000));
  BOOST_CHECK(!ability.is_unable(at(6000)));
}

// Guards against a pause that continues after flows succeed or after a reset.
BOOST_AUTO_TEST_CASE(success_or_reset_makes_it_able) {
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
