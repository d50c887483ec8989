#define BOOST_TEST_MODULE handshake_health
#include "rosemarydrum/forwarding/handshake_health.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

// Guards against new flows at an upstream that has just not answered.
BOOST_AUTO_TEST_CASE(an_unanswered_handshake_makes_it_avoided) {
  handshake_health health;
  health.on_answered(start);
  const auto sent = start + milliseconds(10);
  health.on_unanswered(sent, sent + milliseconds(60));
  BOOST_CHECK(health.is_avoided(sent + milliseconds(100)));
  BOOST_CHECK(!health.is_avoided(sent + milliseconds(60) + first_avoidance));
  BOOST_CHECK(!health.is_silent());
}

// Guards against a lost packet that counts although a later one was answered.
BOOST_AUTO_TEST_CASE(a_later_answer_outweighs_an_earlier_loss) {
  handshake_health health;
  health.on_answered(start + milliseconds(20));
  BOOST_CHECK(!health.on_unanswered(start, start + milliseconds(60)));
  BOOST_CHECK(!health.is_avoided(start + milliseconds(61)));
}

// Guards against full load on an upstream that died and starts again.
BOOST_AUTO_TEST_CASE(two_in_a_row_make_it_silent_until_it_answers) {
  handshake_health health;
  health.on_answered(start);
  const auto at = [](int ms) { return start + milliseconds(ms); };
  BOOST_CHECK(!health.on_unanswered(at(100), at(160)));
  BOOST_CHECK(health.on_unanswered(at(200), at(260)));
  BOOST_CHECK(health.is_silent());
  BOOST_CHECK(!health.on_unanswered(at(300), at(360)));
  BOOST_CHECK(health.on_answered(at(400)));
  BOOST_CHECK(!health.is_silent());
  BOOST_CHECK(!health.on_answered(at(500)));
}

// Guards against an upstream with few flows whose silence goes unnoticed.
BOOST_AUTO_TEST_CASE(one_is_enough_without_a_recent_answer) {
  handshake_health health;
  health.on_answered(start);
  const auto sent = start + recent_answer;
  BOOST_CHECK(health.on_unanswered(sent, sent + milliseconds(60)));
}

// Guards against probes of a dead upstream at a constant rate.
BOOST_AUTO_TEST_CASE(avoidance_grows_up_to_a_bound) {
  handshake_health health;
  time_point now = start;
  for (int i = 0; i < 10; ++i) {
    now += seconds(10);
    health.on_unanswered(now, now);
  }
  BOOST_CHECK(health.is_avoided(now + longest_avoidance - milliseconds(1)));
  BOOST_CHECK(!health.is_avoided(now + longest_avoidance));
  health.reset();
  BOOST_CHECK(!health.is_silent() && !health.is_avoided(now));
}

}  // namespace
}  // namespace rosemarydrum
