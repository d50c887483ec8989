#define BOOST_TEST_MODULE handshake_health
#include "rosemarydrum/forwarding/handshake_health.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

// Guards against new flows to an upstream that just left a handshake
// unanswered.
BOOST_AUTO_TEST_CASE(unanswered_handshake_starts_backoff) {
  handshake_health health;
  health.on_answered(start);
  const auto sent = start + milliseconds(10);
  health.on_unanswered(sent, sent + milliseconds(60));
  BOOST_CHECK(health.is_backed_off(sent + milliseconds(100)));
  BOOST_CHECK(
      !health.is_backed_off(sent + milliseconds(60) + min_handshake_backoff));
  BOOST_CHECK(!health.is_silent());
}

// Guards against a backoff for a lost packet although a handshake that was sent
// later has been answered.
BOOST_AUTO_TEST_CASE(later_answer_outweighs_earlier_loss) {
  handshake_health health;
  health.on_answered(start + milliseconds(20));
  BOOST_CHECK(!health.on_unanswered(start, start + milliseconds(60)));
  BOOST_CHECK(!health.is_backed_off(start + milliseconds(61)));
}

// Guards against full load on an upstream that has crashed and restarted.
BOOST_AUTO_TEST_CASE(two_unanswered_make_it_silent_until_it_answers) {
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

// Guards against an upstream with few flows that is not detected as silent.
BOOST_AUTO_TEST_CASE(one_unanswered_is_enough_without_recent_answer) {
  handshake_health health;
  health.on_answered(start);
  const auto sent = start + recent_answer_age;
  BOOST_CHECK(health.on_unanswered(sent, sent + milliseconds(60)));
}

// Guards against retries of a dead upstream at a constant rate.
BOOST_AUTO_TEST_CASE(backoff_grows_up_to_a_bound) {
  handshake_health health;
  time_point now = start;
  for (int i = 0; i < 10; ++i) {
    now += seconds(10);
    health.on_unanswered(now, now);
  }
  BOOST_CHECK(
      health.is_backed_off(now + max_handshake_backoff - milliseconds(1)));
  BOOST_CHECK(!health.is_backed_off(now + max_handshake_backoff));
  health.reset();
  BOOST_CHECK(!health.is_silent() && !health.is_backed_off(now));
}

}  // namespace
}  // namespace rosemarydrum
