#define BOOST_TEST_MODULE slow_start
#include "rosemarydrum/forwarding/slow_start.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

#include "slow_start_simulation.h"

namespace rosemarydrum {
namespace {

struct fixture {
  static constexpr time_point start{seconds(100)};
  static time_point at(int ms) { return start + milliseconds(ms); }

  fixture() { tested.begin(start, 0); }

  slow_start tested;
};

// Guards against an upstream that is left idle by a member that sees none of
// its answers.
BOOST_FIXTURE_TEST_CASE(the_pace_rises_with_time, fixture) {
  BOOST_CHECK_EQUAL(tested.pace(start), min_pace);
  BOOST_CHECK_EQUAL(tested.pace(at(500)), 2 * min_pace);
  BOOST_CHECK_EQUAL(tested.pace(at(2000)), full_pace);
  BOOST_CHECK_EQUAL(tested.pace(at(9000)), full_pace);
}

// Guards against a pace that ignores answers, and one that rises because of
// answers to requests from before the upstream was overloaded.
BOOST_FIXTURE_TEST_CASE(good_answers_raise_the_pace, fixture) {
  tested.on_good_answer(at(10), at(40));
  BOOST_CHECK_GT(tested.pace(at(40)), 1.2 * min_pace);
  BOOST_CHECK_EQUAL(tested.pace(at(9000)), max_pace);
  tested.on_failure(at(9000));
  const auto pace = tested.pace(at(9000));
  tested.on_good_answer(at(8990), at(9010));
  BOOST_CHECK_EQUAL(tested.pace(at(9010)), pace);
}

// Guards against a pace that stays high for an upstream that sheds or slows,
// that falls again and again for one cause, or that rises at once.
BOOST_FIXTURE_TEST_CASE(signs_of_overload_halve_the_pace, fixture) {
  tested.on_failure(at(2000));
  BOOST_CHECK_EQUAL(tested.pace(at(2000)), full_pace / 2);
  tested.on_failure(at(2100));
  tested.on_slow_answer(at(1990), at(2300));
  BOOST_CHECK_EQUAL(tested.pace(at(2500)), full_pace / 2);
  BOOST_CHECK_LT(tested.pace(at(3400)), full_pace);
  BOOST_CHECK_EQUAL(tested.pace(at(3500)), full_pace);
  tested.on_slow_answer(at(3500), at(3800));
  BOOST_CHECK_EQUAL(tested.pace(at(3800)), full_pace / 2);
  for (int ms = 4000; ms < 9000; ms += 200) {
    tested.on_failure(at(ms));
  }
  BOOST_CHECK_EQUAL(tested.pace(at(9000)), min_pace);
}

// Guards against more flows than the pace allows, and against turns that are
// saved up and then spent together.
BOOST_FIXTURE_TEST_CASE(turns_follow_the_pace, fixture) {
  int turns = 0;
  for (int i = 0; i < 350; ++i) {
    if (tested.earn_turn(0.1, start)) {
      tested.use_turn();
      ++turns;
    }
  }
  BOOST_CHECK_EQUAL(turns, 5);
  for (int i = 0; i < 320; ++i) {
    tested.earn_turn(0.1, start);
  }
  tested.use_turn();
  BOOST_CHECK(!tested.earn_turn(0.1, start));
}

// Guards against a slow start that ends before the upstream has answered a flow
// of this member or while it has less load, and against one without an end.
BOOST_FIXTURE_TEST_CASE(slow_start_ends_at_equal_load, fixture) {
  BOOST_CHECK(!tested.pass_turn(true, at(100)));
  tested.on_placed();
  BOOST_CHECK(!tested.pass_turn(true, at(3000)));
  tested.on_good_answer(at(3000), at(3030));
  BOOST_CHECK(!tested.pass_turn(false, at(3030)));
  BOOST_CHECK(tested.pass_turn(true, at(3030)));
  BOOST_CHECK(!tested.is_active());
  tested.begin(at(4000), 0);
  tested.on_failure(at(10'000));
  BOOST_CHECK(!tested.expire(at(39'000)));
  BOOST_CHECK(tested.expire(at(40'000)));
}

constexpr double usual_load = 1200;

/// Flows per second of an upstream that turns warm, and of the others.
struct ramp : slow_start_simulation {
  explicit ramp(bool paced) : slow_start_simulation(paced) {
    run(usual_load, seconds(8));
    list(started, milliseconds(2000));
    take_counts();
    run(usual_load, seconds(2));
    cold_flows = take_counts()[0];
  }

  /// Runs for half a second. Returns the rate of the started upstream relative
  /// to the mean of the others.
  double step() {
    run(usual_load, milliseconds(500));
    const auto counts = take_counts();
    const double others =
        std::accumulate(counts.begin() + 1, counts.end(), 0.0) /
        (upstream_count - 1);
    return counts[0] / others;
  }
  /// Half seconds until the upstream has nearly the rate of the others; 40 if
  /// it does not reach it.
  int steps_to_full_use() {
    int steps = 1;
    while (steps < 40 && step() < 0.9) {
      ++steps;
    }
    return steps;
  }

  static constexpr std::uint64_t started = 1;
  int cold_flows = 0;
};

// Guards against an upstream that all of 59 members flood as soon as it is
// warm, or leave idle: 40 upstreams with 2 slots at 45 % load, on which flows
// of earlier are open.
BOOST_AUTO_TEST_CASE(a_warm_upstream_is_neither_flooded_nor_idle) {
  constexpr std::size_t unlimited = 1000;
  ramp unpaced(false);
  unpaced.at(ramp::started).queue = unlimited;
  unpaced.step();
  const auto flood = unpaced.at(ramp::started).largest_excess;
  BOOST_TEST_MESSAGE("without slow start: " << flood << " flows wait");
  BOOST_CHECK_GT(flood, slow_start_simulation::usual_queue);

  ramp paced(true);
  paced.at(ramp::started).queue = unlimited;
  const int steps = paced.steps_to_full_use();
  for (int i = 0; i < 20; ++i) {
    BOOST_CHECK_GT(paced.step(), 0.2);
  }
  const auto excess = paced.at(ramp::started).largest_excess;
  BOOST_TEST_MESSAGE("slow start: " << excess << " flows wait, full use after "
                                    << steps * 500 << " ms");
  BOOST_CHECK_LE(excess, slow_start_simulation::usual_queue);
  BOOST_CHECK_LE(steps, 6);
  BOOST_CHECK_EQUAL(paced.refused + unpaced.refused, 0);
}

// Guards against the loss of flows that a started upstream sheds, and against
// one that is then ejected and left idle.
BOOST_AUTO_TEST_CASE(a_warm_upstream_sheds_nothing) {
  int shed[2] = {};
  int served[2] = {};
  for (const bool is_paced : {false, true}) {
    ramp tested(is_paced);
    for (int i = 0; i < 20; ++i) {
      tested.run(usual_load, milliseconds(500));
    }
    shed[is_paced] = tested.at(ramp::started).shed;
    served[is_paced] = tested.take_counts()[0] - shed[is_paced];
  }
  BOOST_TEST_MESSAGE("in 10 s without slow start "
                     << shed[0] << " shed, " << served[0] << " served, with "
                     << shed[1] << " shed, " << served[1] << " served");
  BOOST_CHECK_GT(shed[0], 10);
  BOOST_CHECK_EQUAL(shed[1], 0);
  BOOST_CHECK_GT(served[1], 2 * served[0]);
}

// Guards against an upstream that is held back for long after it has shed flows
// for two seconds.
BOOST_AUTO_TEST_CASE(the_pace_recovers_from_shedding) {
  ramp tested(true);
  tested.at(ramp::started).queue = 0;
  tested.at(ramp::started).work = milliseconds(200);
  for (int i = 0; i < 8; ++i) {
    tested.step();
  }
  const int shed = tested.at(ramp::started).shed;
  tested.at(ramp::started).queue = slow_start_simulation::usual_queue;
  tested.at(ramp::started).work = milliseconds(30);
  const int steps = tested.steps_to_full_use();
  BOOST_TEST_MESSAGE("shed " << shed << " flows, full use " << steps * 500
                             << " ms later");
  BOOST_CHECK_GT(shed, 0);
  BOOST_CHECK_LE(steps, 14);
}

// Guards against a usual share of the flows for an upstream that came back
// eight times slower.
BOOST_AUTO_TEST_CASE(a_slow_upstream_stays_low) {
  ramp tested(true);
  tested.at(ramp::started).work = milliseconds(240);
  double rate = 0;
  for (int i = 0; i < 20; ++i) {
    rate += tested.step() / 20;
  }
  BOOST_TEST_MESSAGE("a slow upstream gets " << rate
                                             << " of the usual rate, sheds "
                                             << tested.at(ramp::started).shed);
  BOOST_CHECK_LE(rate, 0.3);
  BOOST_CHECK_EQUAL(tested.refused, 0);
}

// FAILBACK: guards against more flows to a cold upstream than the stated rate
// over all members, and against refusals as soon as it is warm, although all
// upstreams are in slow start.
BOOST_AUTO_TEST_CASE(cold_upstreams_keep_the_stated_rate) {
  slow_start_simulation tested(true);
  tested.run(usual_load, seconds(1));
  for (std::uint64_t key = 1; key <= tested.upstream_count; ++key) {
    tested.list(key, milliseconds(3000));
  }
  for (int second = 0; second < 3; ++second) {
    tested.take_counts();
    tested.run(usual_load, seconds(1));
    const auto counts = tested.take_counts();
    BOOST_CHECK_LE(*std::max_element(counts.begin(), counts.end()), 5);
  }
  tested.refused = 0;
  tested.run(usual_load, seconds(3));
  BOOST_CHECK_EQUAL(tested.refused, 0);
}

}  // namespace
}  // namespace rosemarydrum
