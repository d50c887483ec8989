#define BOOST_TEST_MODULE stall_detector
#include "rosemarydrum/forwarding/stall_detector.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr upstream_index dead{3};
constexpr upstream_index alive{5};

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

constexpr incarnation member{7};
constexpr incarnation other_member{8};

struct fixture {
  fixture() {
    detector.on_answer(dead, at(0));
    detector.on_answer(alive, at(0));
  }
  /// A flow that sent its request at `sent` and stalled 300 ms later.
  bool stall(int sent, bool needs_reporter = false) {
    return detector.on_stalled(dead, at(sent), needs_reporter, at(sent + 300));
  }
  bool report(incarnation reporter, int ms, bool needs_reporter = false) {
    return detector.on_reported(dead, reporter, needs_reporter, at(ms));
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

// Guards against waiting for a second flow of one's own, and against resets
// that rest on the word of others alone: they may be cut off.
BOOST_FIXTURE_TEST_CASE(reports_count_with_an_own_stall, fixture) {
  BOOST_CHECK(!report(member, 300));
  BOOST_CHECK(!report(other_member, 300));
  BOOST_CHECK(!report(member, 310));
  BOOST_CHECK(stall(20));
}

// As above, when the own flow stalls first.
BOOST_FIXTURE_TEST_CASE(a_report_after_an_own_stall_counts, fixture) {
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(report(member, 400));
}

// Guards against resets because only the way from this process to another data
// centre is cut.
BOOST_FIXTURE_TEST_CASE(some_upstreams_need_a_reporter, fixture) {
  for (int sent = 10; sent < 100; sent += 10) {
    BOOST_CHECK(!stall(sent, true));
  }
  BOOST_CHECK(report(member, 400, true));
}

// Guards against judging while this process is cut off from all upstreams.
BOOST_FIXTURE_TEST_CASE(answers_of_any_upstream_are_known, fixture) {
  BOOST_CHECK(!detector.has_answered_since(at(0)));
  detector.on_answer(alive, at(20));
  BOOST_CHECK(detector.has_answered_since(at(10)));
  BOOST_CHECK(!detector.has_answered_since(at(20)));
}

// Guards against answers that were lost while the process did not run.
BOOST_FIXTURE_TEST_CASE(earlier_requests_do_not_count, fixture) {
  detector.restart(at(100));
  BOOST_CHECK(!stall(50));
  BOOST_CHECK(!stall(60));
  BOOST_CHECK(!stall(101));
  BOOST_CHECK(stall(102));
}

// Guards against verdicts at the onset of a full link: callers of many
// upstreams retransmit at once, and their copies are lost as well.
BOOST_FIXTURE_TEST_CASE(joint_retransmissions_pause_the_verdict, fixture) {
  for (std::uint32_t i = 0; i < joint_retransmissions; ++i) {
    detector.on_retransmission(upstream_index(10 + i),
                               at(200 + 5 * static_cast<int>(i)));
  }
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(!stall(20));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(600)));
  BOOST_CHECK(detector.take_postponed(at(600)).empty());
  BOOST_CHECK(!detector.is_conclusive(at(600)));
  // It is dead if its callers have no answer until the pause ends.
  BOOST_CHECK(detector.take_postponed(at(720)) == std::vector{dead});
  BOOST_CHECK(detector.judge(dead, false, at(720)));
  BOOST_CHECK(detector.is_unresponsive(dead, at(720)));
}

// Guards against a verdict after the pause on an upstream that has answered.
BOOST_FIXTURE_TEST_CASE(answers_in_the_pause_end_the_suspicion, fixture) {
  for (std::uint32_t i = 0; i < joint_retransmissions; ++i) {
    detector.on_retransmission(upstream_index(10 + i),
                               at(200 + 5 * static_cast<int>(i)));
  }
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(!stall(20));
  detector.on_answer(dead, at(400));
  BOOST_CHECK(detector.take_postponed(at(720)).empty());
}

// Guards against a pause without end while many upstreams are dead.
BOOST_FIXTURE_TEST_CASE(the_pause_is_not_renewed_at_once, fixture) {
  for (std::uint32_t i = 0; i < 100; ++i) {
    detector.on_retransmission(upstream_index(10 + i % 10),
                               at(200 + 10 * static_cast<int>(i)));
  }
  BOOST_CHECK(!stall(10));
  BOOST_CHECK(!stall(20));
  BOOST_CHECK(stall(500));
}

// Guards against resets while a link stays full: that many stalls are usual for
// live upstreams.
BOOST_FIXTURE_TEST_CASE(false_stalls_require_more, fixture) {
  for (std::uint32_t i = 0; i < 8; ++i) {
    detector.on_stalled(upstream_index(10 + i), at(10), false, at(310));
    detector.on_answer(upstream_index(10 + i), at(350));
  }
  const auto needed = detector.loss().stalls_of_dead_upstream(at(400));
  BOOST_REQUIRE_GT(needed, 4U);
  for (std::size_t i = 1; i < needed; ++i) {
    BOOST_CHECK(!stall(100 + static_cast<int>(i)));
  }
  // A dead upstream is told from them by the next one.
  BOOST_CHECK(stall(120));
}

// Guards against reports of members whose links are full as well.
BOOST_FIXTURE_TEST_CASE(reports_do_not_count_on_a_lossy_link, fixture) {
  for (std::uint32_t i = 0; i < 8; ++i) {
    detector.on_stalled(upstream_index(10 + i), at(10), false, at(310));
    detector.on_answer(upstream_index(10 + i), at(350));
  }
  for (std::uint64_t reporter = 1; reporter <= 20; ++reporter) {
    BOOST_CHECK(!report(incarnation(reporter), 380));
  }
  BOOST_CHECK(!stall(100));
}

// Guards against a verdict on what was seen before this process stood still or
// was cut off.
BOOST_FIXTURE_TEST_CASE(a_restart_ends_postponed_verdicts, fixture) {
  for (std::uint32_t i = 0; i < joint_retransmissions; ++i) {
    detector.on_retransmission(upstream_index(10 + i),
                               at(200 + 5 * static_cast<int>(i)));
  }
  stall(10);
  stall(20);
  detector.restart(at(5000));
  BOOST_CHECK(detector.take_postponed(at(5000)).empty());
  BOOST_CHECK(!detector.judge(dead, false, at(5000)));
}

// Guards against upstreams of other data centres that are never judged while
// the network loses a few packets: that needs a report.
BOOST_FIXTURE_TEST_CASE(reports_count_with_little_loss, fixture) {
  for (int i = 0; i < 1000; ++i) {
    detector.on_request(at(i / 4));
  }
  for (int i = 0; i < 4; ++i) {
    detector.on_answered_retransmission(at(0), at(250));
  }
  BOOST_CHECK(detector.is_conclusive(at(300)));
  report(member, 310, true);
  int stalls = 0;
  while (stalls < 8 && !stall(10 + stalls, true)) {
    ++stalls;
  }
  BOOST_CHECK_LT(stalls, 6);
}

// Guards against taking the flows of an upstream that is back for losses.
BOOST_FIXTURE_TEST_CASE(a_recovery_is_no_loss, fixture) {
  for (int sent = 10; sent < 100; sent += 10) {
    stall(sent);
  }
  detector.on_answer(dead, at(1400));
  for (int i = 0; i < 10; ++i) {
    detector.on_answered_retransmission(at(10), at(1400));
  }
  BOOST_CHECK_EQUAL(detector.loss().share(at(1400)), 0.0);
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
