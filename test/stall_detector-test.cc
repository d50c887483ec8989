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
    for (int ms = 0; ms < 5000; ms += 50) {
      detector.on_delivered(at(ms));
    }
  }
  /// Returns whether the upstream becomes unresponsive.
  bool judge(int ms, bool needs_reporter) {
    const auto pending = detector.take_pending(at(ms));
    return !pending.empty() && detector.judge(dead, needs_reporter, at(ms));
  }
  /// Data that was sent at `sent` is sent again 200 ms later.
  bool lose(int sent, bool needs_reporter = false) {
    detector.on_lost(dead, at(sent), at(sent + 200));
    return judge(sent + 200, needs_reporter);
  }
  /// Another member tells the same 10 ms after that.
  bool report(incarnation reporter, int sent, bool needs_reporter = false) {
    detector.on_reported_lost(dead, reporter, at(sent), at(sent + 210));
    return judge(sent + 210, needs_reporter);
  }
  /// `count` upstreams answer data that was sent twice.
  void lose_to_live(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      detector.on_lost(upstream_index(10 + i), at(10), at(210));
      detector.on_answer(upstream_index(10 + i), at(250));
    }
  }
  /// So that a few losses are a small share.
  void send_many_requests() {
    for (int i = 0; i < 1000; ++i) {
      detector.on_request(at(i / 2));
    }
  }
  void retransmit_to_many() {
    for (std::uint32_t i = 0; i < joint_retransmissions; ++i) {
      detector.on_lost(upstream_index(10 + i), at(0),
                       at(200 + 5 * static_cast<int>(i)));
    }
  }
  stall_detector detector;
};

// Guards against flows that are reset because one or two packets were lost.
BOOST_FIXTURE_TEST_CASE(two_losses_are_not_enough, fixture) {
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(400)));
  BOOST_CHECK(lose(400));
  BOOST_CHECK(detector.is_unresponsive(dead, at(600)));
  BOOST_CHECK(!detector.is_unresponsive(alive, at(600)));
  BOOST_CHECK_EQUAL(detector.losses(dead), 3U);
  // It becomes unresponsive only once.
  BOOST_CHECK(!lose(500));
}

// FLOW: guards against resets because a full queue has dropped several packets
// together, whose requests take longer than a retransmission.
BOOST_FIXTURE_TEST_CASE(losses_at_one_time_are_one, fixture) {
  for (int sent = 10; sent < 90; sent += 10) {
    BOOST_CHECK(!lose(sent));
  }
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!lose(300));
  BOOST_CHECK(lose(400));
}

// Guards against lost packets that add up over a long time.
BOOST_FIXTURE_TEST_CASE(losses_are_forgotten, fixture) {
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!lose(3500));
  BOOST_CHECK(!lose(3700));
  BOOST_CHECK(lose(3900));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(5200)));
}

// Guards against an upstream that counts as dead although it answers others.
BOOST_FIXTURE_TEST_CASE(answers_clear_the_upstream, fixture) {
  send_many_requests();
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  detector.on_answer(dead, at(415));
  BOOST_CHECK(!lose(400));
  BOOST_CHECK(!lose(420));
  BOOST_CHECK(!lose(600));
  BOOST_CHECK(!lose(800));
  // The answer has shown three losses on the way to a live upstream.
  BOOST_CHECK(!lose(1000));
  BOOST_CHECK(!lose(1200));
  BOOST_CHECK(lose(1400));
  BOOST_CHECK(detector.on_answer(dead, at(1650)));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(1650)));
}

// FLOW: guards against a verdict on this member's losses alone, although
// callers of another member get answers.
BOOST_FIXTURE_TEST_CASE(answers_of_other_members_clear_the_upstream, fixture) {
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!detector.on_alive(dead, at(300), at(450)));
  BOOST_CHECK_EQUAL(detector.losses(dead), 0U);
  BOOST_CHECK(!lose(400));
  BOOST_CHECK(!lose(600));
  // An answer from before the losses clears nothing.
  BOOST_CHECK(!detector.on_alive(dead, at(390), at(810)));
  BOOST_CHECK_EQUAL(detector.losses(dead), 2U);
  // It has not answered a caller of this process.
  BOOST_CHECK(detector.answered_at(dead) == at(0));
}

// Guards against waiting for further losses of one's own, and against resets
// that rest on the word of others alone: they may be cut off.
BOOST_FIXTURE_TEST_CASE(reports_count_with_an_own_loss, fixture) {
  BOOST_CHECK(!report(member, 10));
  BOOST_CHECK(!report(other_member, 200));
  BOOST_CHECK(!report(member, 400));
  BOOST_CHECK(lose(420));
}

// As above, when the own flow is first.
BOOST_FIXTURE_TEST_CASE(reports_after_an_own_loss_count, fixture) {
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!report(member, 200));
  BOOST_CHECK(report(other_member, 400));
}

// Guards against resets because only the way from this process to another data
// centre is cut.
BOOST_FIXTURE_TEST_CASE(some_upstreams_need_a_reporter, fixture) {
  for (int sent = 10; sent < 1000; sent += 100) {
    BOOST_CHECK(!lose(sent, true));
  }
  BOOST_CHECK(report(member, 1000, true));
}

// FLOW: guards against judging while this process is cut off from all upstreams
// or its own link is blocked, also right after that has ended.
BOOST_AUTO_TEST_CASE(losses_on_a_blocked_link_do_not_count) {
  stall_detector detector;
  detector.on_answer(dead, at(0));
  detector.on_delivered(at(0));
  for (const int sent : {10, 200, 210, 400, 600, 800}) {
    BOOST_CHECK(!detector.is_telling(at(sent)));
    detector.on_lost(dead, at(sent), at(sent + 200));
  }
  // Another upstream answers at last.
  detector.on_delivered(at(1200));
  // Answers that other members have seen do not show that the link works.
  detector.on_alive(alive, at(300), at(1210));
  BOOST_CHECK(!detector.judge(dead, false, at(1220)));
  // This one has been cut off for a moment only.
  for (const int sent : {30, 220, 420}) {
    detector.on_delivered(at(sent));
  }
  BOOST_CHECK(detector.is_telling(at(400)));
  BOOST_CHECK(detector.judge(dead, false, at(1220)));
}

// Guards against answers that were lost while the process did not run.
BOOST_FIXTURE_TEST_CASE(earlier_data_does_not_count, fixture) {
  detector.restart(at(500));
  BOOST_CHECK(!lose(50));
  BOOST_CHECK(!lose(300));
  BOOST_CHECK(!lose(501));
  BOOST_CHECK(!lose(700));
  BOOST_CHECK(lose(900));
}

// Guards against verdicts at the onset of a full link: callers of many
// upstreams retransmit at once, and their copies are lost as well.
BOOST_FIXTURE_TEST_CASE(joint_retransmissions_pause_the_verdict, fixture) {
  retransmit_to_many();
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!lose(380));
  BOOST_CHECK(!detector.is_unresponsive(dead, at(600)));
  BOOST_CHECK(detector.take_pending(at(600)).empty());
  BOOST_CHECK(!detector.is_conclusive(at(600)));
  // It is dead if its callers have no answer until the pause ends.
  const auto pending = detector.take_pending(at(720));
  BOOST_CHECK(std::count(pending.begin(), pending.end(), dead) == 1);
  BOOST_CHECK(detector.judge(dead, false, at(720)));
  BOOST_CHECK(detector.is_unresponsive(dead, at(720)));
}

// Guards against a verdict after the pause on an upstream that has answered.
BOOST_FIXTURE_TEST_CASE(answers_in_the_pause_end_the_suspicion, fixture) {
  retransmit_to_many();
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(!lose(380));
  detector.on_answer(dead, at(600));
  const auto pending = detector.take_pending(at(720));
  BOOST_CHECK(std::count(pending.begin(), pending.end(), dead) == 0);
}

// Guards against a pause without end while many upstreams are dead.
BOOST_FIXTURE_TEST_CASE(the_pause_is_not_renewed_at_once, fixture) {
  for (std::uint32_t i = 0; i < 100; ++i) {
    detector.on_lost(upstream_index(10 + i % 10), at(10),
                     at(200 + 10 * static_cast<int>(i)));
  }
  BOOST_CHECK(!lose(10));
  BOOST_CHECK(!lose(200));
  BOOST_CHECK(lose(520));
}

// Guards against resets while a link stays full: that many losses are usual for
// live upstreams.
BOOST_FIXTURE_TEST_CASE(losses_to_live_upstreams_require_more, fixture) {
  lose_to_live(8);
  const auto needed =
      static_cast<int>(detector.loss().losses_of_dead_upstream(at(400)));
  BOOST_REQUIRE_GT(needed, 5);
  for (int i = 1; i < needed; ++i) {
    BOOST_CHECK(!lose(520 + 60 * i));
  }
  // A dead upstream is told from them by the next one.
  BOOST_CHECK(lose(520 + 60 * needed));
}

// FLOW: guards against resets while only the link before this upstream is full:
// losses to it that were followed by answers make further ones less telling.
BOOST_FIXTURE_TEST_CASE(losses_to_the_upstream_itself_require_more, fixture) {
  send_many_requests();
  for (int i = 0; i < 3; ++i) {
    lose(10 + 20 * i);
    detector.on_answer(dead, at(250 + 20 * i));
  }
  BOOST_CHECK(detector.is_conclusive(at(300)));
  BOOST_CHECK(!lose(500));
  BOOST_CHECK(!lose(700));
  BOOST_CHECK(!lose(900));
  BOOST_CHECK(!lose(1100));
  BOOST_CHECK(!lose(1300));
  BOOST_CHECK(lose(1500));
}

// Guards against reports of members whose links are full as well.
BOOST_FIXTURE_TEST_CASE(reports_do_not_count_on_a_lossy_link, fixture) {
  lose_to_live(8);
  for (std::uint64_t reporter = 1; reporter <= 20; ++reporter) {
    BOOST_CHECK(
        !report(incarnation(reporter), 520 + 30 * static_cast<int>(reporter)));
  }
  BOOST_CHECK(!lose(1100));
}

// Guards against a verdict on what was seen before this process stood still or
// was cut off.
BOOST_FIXTURE_TEST_CASE(a_restart_ends_postponed_verdicts, fixture) {
  retransmit_to_many();
  lose(10);
  lose(200);
  lose(380);
  detector.restart(at(5000));
  BOOST_CHECK(detector.take_pending(at(5000)).empty());
  BOOST_CHECK(!detector.judge(dead, false, at(5000)));
}

// Guards against upstreams of other data centres that are never judged while
// the network loses a few packets: that needs a report.
BOOST_FIXTURE_TEST_CASE(reports_count_with_little_loss, fixture) {
  send_many_requests();
  for (std::uint32_t i = 0; i < 4; ++i) {
    detector.on_lost(upstream_index(10 + i), at(0), at(205));
    detector.on_answer(upstream_index(10 + i), at(245));
  }
  BOOST_CHECK(detector.is_conclusive(at(720)));
  report(member, 510, true);
  int losses = 0;
  while (losses < 8 && !lose(520 + 160 * losses, true)) {
    ++losses;
  }
  BOOST_CHECK_LT(losses, 6);
}

// Guards against taking the flows of an upstream that is back for losses.
BOOST_FIXTURE_TEST_CASE(a_recovery_is_no_loss, fixture) {
  for (int sent = 10; sent < 1000; sent += 100) {
    lose(sent);
  }
  detector.on_answer(dead, at(2100));
  BOOST_CHECK_EQUAL(detector.loss().share(at(2100)), 0.0);
}

// Guards against a state that a new upstream takes over with its index.
BOOST_FIXTURE_TEST_CASE(upstreams_are_forgotten, fixture) {
  lose(10);
  lose(200);
  lose(400);
  detector.forget(dead);
  BOOST_CHECK(!detector.is_unresponsive(dead, at(620)));
  BOOST_CHECK(!lose(500));
}

}  // namespace
}  // namespace rosemarydrum
