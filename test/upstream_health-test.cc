#define BOOST_TEST_MODULE upstream_health
#include "rosemarydrum/slots/upstream_health.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemarydrum {
namespace {

constexpr std::uint32_t usual_us = 20'000;

slot_release released(attempt_outcome outcome, std::uint32_t latency_us,
                      std::uint64_t run = 1) {
  slot_release release;
  release.outcome = outcome;
  release.latency_us = latency_us;
  release.upstream_run = incarnation(run);
  return release;
}

void answer(upstream_health& health, int times,
            std::uint32_t latency_us = usual_us, std::uint64_t run = 1) {
  for (int i = 0; i < times; ++i) {
    health.on_release(released(attempt_outcome::answered, latency_us, run));
  }
}

// Guards against a newly started upstream that gets full load immediately.
BOOST_AUTO_TEST_CASE(limit_grows_by_one_for_each_four_answers) {
  upstream_health health(3);
  BOOST_CHECK(health.state() == health_state::cold);
  BOOST_CHECK_EQUAL(health.limit(), 1);
  answer(health, 3);
  BOOST_CHECK_EQUAL(health.limit(), 1);
  answer(health, 1);
  BOOST_CHECK_EQUAL(health.limit(), 2);
  BOOST_CHECK(health.state() == health_state::ramping);
  answer(health, 4);
  BOOST_CHECK_EQUAL(health.limit(), 3);
  BOOST_CHECK(health.state() == health_state::warm);
  answer(health, 100);
  BOOST_CHECK_EQUAL(health.limit(), 3);
}

// Guards against a restart, a shed request or a reset that does not make the
// upstream cold.
BOOST_AUTO_TEST_CASE(signs_of_a_cold_upstream_take_effect_at_once) {
  const slot_release signs[] = {
      released(attempt_outcome::answered, usual_us, 2),
      released(attempt_outcome::shed, 0),
      released(attempt_outcome::reset, 0, 0),
  };
  for (const slot_release& sign : signs) {
    upstream_health health(4);
    answer(health, 12);
    BOOST_REQUIRE(health.state() == health_state::warm);
    BOOST_CHECK(health.on_release(sign));
    BOOST_CHECK(health.state() == health_state::cold);
    BOOST_CHECK_EQUAL(health.limit(), cold_limit);
  }
}

// Guards against a cold upstream that shows only by slow answers and keeps its
// full limit.
BOOST_AUTO_TEST_CASE(two_slow_answers_in_a_row_make_it_cold) {
  upstream_health health(4);
  answer(health, 40);
  BOOST_REQUIRE(health.has_latency_estimate());
  answer(health, 1, 4 * usual_us);
  answer(health, 1);
  answer(health, 1, 4 * usual_us);
  BOOST_CHECK(health.state() == health_state::warm);
  answer(health, 1, 4 * usual_us);
  BOOST_CHECK(health.state() == health_state::cold);
  // Slow answers do not raise the limit.
  answer(health, 20, 4 * usual_us);
  BOOST_CHECK_EQUAL(health.limit(), cold_limit);
}

// Guards against timeouts that do not count as slow answers.
BOOST_AUTO_TEST_CASE(timed_out_requests_count_as_slow) {
  upstream_health health(4);
  answer(health, 12);
  health.on_release(released(attempt_outcome::timed_out, 0, 0));
  health.on_release(released(attempt_outcome::timed_out, 0, 0));
  BOOST_CHECK(health.state() == health_state::cold);
}

// Guards against a limit that changes by requests that were not sent or were
// rejected as late, which do not depend on the upstream's load.
BOOST_AUTO_TEST_CASE(unused_and_late_requests_change_nothing) {
  upstream_health health(4);
  answer(health, 7);
  const auto limit = health.limit();
  for (int i = 0; i < 10; ++i) {
    health.on_release(released(attempt_outcome::unused, 0));
    health.on_release(released(attempt_outcome::rejected_late, 0));
  }
  BOOST_CHECK_EQUAL(health.limit(), limit);
  answer(health, 1);
  BOOST_CHECK_EQUAL(health.limit(), limit + 1);
}

// Guards against a late answer of the previous run that raises the limit of the
// new one.
BOOST_AUTO_TEST_CASE(answers_of_the_last_run_are_ignored) {
  upstream_health health(3);
  answer(health, 8, usual_us, 1);
  answer(health, 1, usual_us, 2);
  answer(health, 20, usual_us, 1);
  BOOST_CHECK(health.run() == incarnation(2));
  BOOST_CHECK_EQUAL(health.limit(), cold_limit);
}

// Guards against upstreams that become cold because run times vary: 5 % of
// exponentially distributed run times exceed three times the mean.
BOOST_AUTO_TEST_CASE(spread_of_run_times_is_not_slowness) {
  std::mt19937_64 random(1);
  std::exponential_distribution<double> run_time(1.0 / usual_us);
  upstream_health health(3);
  int cold = 0;
  for (int i = 0; i < 100'000; ++i) {
    const auto latency = static_cast<std::uint32_t>(run_time(random)) + 1;
    const bool changed =
        health.on_release(released(attempt_outcome::answered, latency));
    cold += changed && health.state() == health_state::cold ? 1 : 0;
  }
  BOOST_CHECK_LE(cold, 20);
}

// Guards against slow first answers of a cold upstream that become the usual
// latency.
BOOST_AUTO_TEST_CASE(first_answers_are_judged_by_the_expected_latency) {
  upstream_health health(3);
  health.set_expected_latency(duration(usual_us));
  answer(health, 20, 5 * usual_us);
  BOOST_CHECK_EQUAL(health.limit(), cold_limit);
}

// Guards against full load on a cold upstream after a hand-over.
BOOST_AUTO_TEST_CASE(adopts_the_limit_of_another_decider) {
  upstream_health health(4);
  health.adopt({service_id(1), {upstream_id(1), incarnation(7)}, 2});
  BOOST_CHECK(health.state() == health_state::ramping);
  BOOST_CHECK_EQUAL(health.limit(), 2);
  BOOST_CHECK(health.run() == incarnation(7));
  health.adopt({service_id(1), {upstream_id(1), incarnation(7)}, 9});
  BOOST_CHECK(health.state() == health_state::warm);
  BOOST_CHECK_EQUAL(health.limit(), 4);
}

// Guards against added slots that are all granted immediately.
BOOST_AUTO_TEST_CASE(added_slots_are_ramped) {
  upstream_health health(2);
  answer(health, 4);
  BOOST_REQUIRE(health.state() == health_state::warm);
  health.set_slots(4);
  BOOST_CHECK_EQUAL(health.limit(), 2);
  answer(health, 8);
  BOOST_CHECK_EQUAL(health.limit(), 4);
  health.set_slots(1);
  BOOST_CHECK_EQUAL(health.limit(), 1);
}

}  // namespace
}  // namespace rosemarydrum
