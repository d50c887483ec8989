#define BOOST_TEST_MODULE stall_detector
#include "rosemarydrum/forwarding/stall_detector.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr upstream_index dead{3};
constexpr upstream_index alive{5};

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

struct fixture {
  fixture() {
    detector.on_answer(dead, at(0));
    detector.on_answer(alive, at(0));
  }
  /// A flow that sent its request at `sent` and stalled 300 ms later.
  bool stall(int sent) {
    detector.on_answer(alive, at(sent + 250));
    return detector.on_stalled(dead, 1, at(sent), stalls_of_unresponsive,
                               at(sent + 300));
  }
  stall_detector detector;
};

// Guards against flows that are reset because one packet was lost.
BOOST_FIXTURE_TEST_CASE(one_stall_is_not_enough, fixture) {
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(310)));
  BOOST_CHECK(stall(20));
  BOOST_CHECK(detector.is_unresponsive(dead, at(320)));
  BOOST_CHECK(!detector.is_unresponsive(alive, at(320)));
  // It becomes unresponsive only once.
  BOOST_CHECK(!stall(30));
}

// Guards against lost packets that add up over a long time.
BOOST_FIXTURE_TEST_CASE(stalls_are_forgotten, fixture) {
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(!stall(1100));
  BOOST_CHECK(stall(1200));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(2600)));
}

// Guards against an upstream that counts as dead although it answers others.
BOOST_FIXTURE_TEST_CASE(answers_clear_the_upstream, fixture) {
  BOOST_CHECK(!stall(10));
  detector.on_answer(dead, at(315));
  BOOST_CHECK(!stall(20));
  BOOST_CHECK(!stall(300));
  BOOST_CHECK(!stall(320));
  BOOST_CHECK(stall(330));
  BOOST_CHECK(detector.on_answer(dead, at(640)));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(640)));
}

// Guards against a forwarder that is cut off and resets all flows.
BOOST_FIXTURE_TEST_CASE(nothing_is_judged_while_no_upstream_answers, fixture) {
  for (int sent = 10; sent < 400; sent += 10) {
    BOOST_CHECK(!detector.on_stalled(dead, 1, at(sent), stalls_of_unresponsive,
                                     at(sent + 300)));
  }
}

// Guards against answers that were lost while the process did not run.
BOOST_FIXTURE_TEST_CASE(earlier_requests_do_not_count, fixture) {
  detector.restart(at(100));
  BOOST_CHECK(!stall(50));
  BOOST_CHECK(!stall(60));
  BOOST_CHECK(!stall(101));
  BOOST_CHECK(stall(102));
}

// Guards against a state that a new upstream takes over with its index.
BOOST_FIXTURE_TEST_CASE(upstreams_are_forgotten, fixture) {
  stall(10);
  stall(20);
  detector.forget(dead);
  BOOST_CHECK(!detector.is_unresponsive(dead, at(330)));
  BOOST_CHECK(!stall(30));
}

}  // namespace
}  // namespace rosemarydrum
