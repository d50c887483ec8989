#define BOOST_TEST_MODULE slot_table
#include "rosemarydrum/slots/slot_table.h"

#include <boost/test/unit_test.hpp>

#include "slot_table_fixture.h"

namespace rosemarydrum {
namespace {

struct warm_table : table_fixture {
  explicit warm_table(int upstreams = 3, std::uint16_t slots = 3,
                      std::size_t max_queue = 256)
      : table_fixture(upstreams, slots, {self_run, home, max_queue}) {
    warm();
    authority(slot_authority::sole);
  }
};

error_kind only_error(const std::vector<slot_answer>& answers) {
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  return answers.front().error;
}

// Guards against uneven load: the in-flight counts of two upstreams differ by
// at most one.
BOOST_AUTO_TEST_CASE(the_least_loaded_upstream_is_chosen) {
  warm_table t;
  BOOST_CHECK_EQUAL(t.granted(6), 6);
  for (int upstream = 1; upstream <= 3; ++upstream) {
    BOOST_CHECK_EQUAL(t.in_flight(upstream), 2U);
  }
  BOOST_CHECK_EQUAL(t.granted(6), 3);
}

// Guards against a repeated ask that takes a second slot, also after release.
BOOST_AUTO_TEST_CASE(repeated_ask_gets_the_same_grant) {
  warm_table t;
  const auto first = t.ask(ask_of(1)).front();
  t.advance(100);
  const auto again = t.ask(ask_of(1)).front();
  BOOST_CHECK(first.grant == again.grant && first.upstream == again.upstream);
  BOOST_CHECK_EQUAL(first.run_time_ms, 1000U);
  BOOST_CHECK_EQUAL(again.run_time_ms, 900U);
  // The same ask number from another balancer is a different ask.
  BOOST_CHECK(t.ask(ask_of(1), other_run).front().grant != first.grant);
  t.release(first);
  BOOST_CHECK(t.ask(ask_of(1)).empty());
  BOOST_CHECK_EQUAL(t.table.running(t.shard, t.now).size(), 1U);
}

// Guards against requests that wait behind others of lower priority or later
// deadline.
BOOST_AUTO_TEST_CASE(queue_is_ordered_by_priority_then_deadline) {
  warm_table t(1, 1);
  auto running = t.ask(ask_of(1)).front();
  slot_ask urgent = ask_of(4, 1);
  urgent.time_left_ms = 500;
  t.ask(ask_of(2, 0));
  t.ask(ask_of(3, 1));
  t.ask(urgent);
  for (const std::uint64_t expected : {4, 3, 2}) {
    t.release(running);
    running = t.answers().front();
    BOOST_CHECK_EQUAL(running.ask, expected);
  }
}

// Guards against a full queue that refuses a request of higher priority than
// one that is waiting.
BOOST_AUTO_TEST_CASE(lowest_priority_is_refused_when_the_queue_is_full) {
  warm_table t(1, 1, 2);
  t.granted(1);
  t.ask(ask_of(1, 1));
  t.ask(ask_of(2, 2));
  BOOST_CHECK(only_error(t.ask(ask_of(3, 0))) == error_kind::overloaded);
  const auto refused = t.ask(ask_of(4, 2));
  BOOST_CHECK(only_error(refused) == error_kind::overloaded);
  BOOST_CHECK_EQUAL(refused.front().ask, 1U);
}

// Guards against requests that wait beyond their deadline, and against grants
// to owners that no longer repeat their asks and would not use them.
BOOST_AUTO_TEST_CASE(waiting_asks_expire_at_the_deadline_or_without_repeats) {
  warm_table t(1, 1);
  const auto running = t.ask(ask_of(1)).front();
  slot_ask late = ask_of(2);
  late.time_left_ms = 150;
  t.ask(late);
  t.ask(ask_of(3));
  t.advance(150);
  BOOST_CHECK(only_error(t.answers()) == error_kind::deadline_exceeded);
  t.advance(50);  // Ask 3 has not been repeated for 200 ms.
  t.release(running);
  BOOST_CHECK(t.answers().empty());
  late.ask = 4;
  late.time_left_ms = 0;
  BOOST_CHECK(only_error(t.ask(late)) == error_kind::deadline_exceeded);
}

// Guards against a withdrawn ask that takes a slot.
BOOST_AUTO_TEST_CASE(withdrawn_ask_is_not_granted) {
  warm_table t(1, 1);
  const auto running = t.ask(ask_of(1)).front();
  t.ask(ask_of(2));
  t.table.on_withdraw(self_run, 2);
  t.release(running);
  BOOST_CHECK(t.answers().empty());
  t.table.on_withdraw(self_run, 99);
}

// Guards against queueing asks that no upstream can ever serve, and against
// moving a flow silently to another upstream when its upstream is removed.
BOOST_AUTO_TEST_CASE(impossible_asks_are_refused_at_once) {
  warm_table t(2, 3);
  slot_ask unknown = ask_of(1);
  unknown.service = service_id(77);
  t.table.set_authority(shard_of(service_id(77)), slot_authority::sole, {},
                        true, t.now, t.out);
  BOOST_CHECK(only_error(t.ask(unknown)) == error_kind::no_capacity);
  slot_ask pinned = ask_of(2);
  pinned.pinned = upstream_id(55);
  BOOST_CHECK(only_error(t.ask(pinned)) == error_kind::flow_ended);
  pinned = ask_of(3);
  pinned.pinned = upstream_id(100);
  BOOST_CHECK(only_error(t.ask(pinned)) == error_kind::no_capacity);
  pinned = ask_of(4);
  pinned.pinned = upstream_id(2);
  for (int i = 0; i < 4; ++i, ++pinned.ask) {
    const auto answers = t.ask(pinned);
    BOOST_CHECK_EQUAL(answers.size(), i < 3 ? 1U : 0U);
  }
  // A drained upstream still serves its flows. If it is removed while a request
  // waits, the flow ends.
  t.current.services[hour_signal].upstreams[1].state = service_state::out;
  t.configure();
  BOOST_CHECK(t.answers().empty());
  auto& upstreams = t.current.services[hour_signal].upstreams;
  upstreams.erase(upstreams.begin() + 1);
  t.configure();
  BOOST_CHECK(only_error(t.answers()) == error_kind::flow_ended);
}

// Guards against selecting an upstream again that the request has tried, while
// there is another.
BOOST_AUTO_TEST_CASE(tried_upstreams_are_avoided) {
  warm_table t(2, 3);
  slot_ask hedge = ask_of(0);
  hedge.avoid = {upstream_id(1)};
  for (hedge.ask = 1; hedge.ask <= 3; ++hedge.ask) {
    BOOST_CHECK(t.ask(hedge).front().upstream == upstream_id(2));
  }
  BOOST_CHECK(t.ask(hedge).empty());
  hedge.ask = 5;
  hedge.avoid = {upstream_id(1), upstream_id(2)};
  BOOST_CHECK(t.ask(hedge).front().upstream == upstream_id(1));
}

// Guards against a slot that is granted again while its request may still run,
// and against a slot that is never freed if its release is lost.
BOOST_AUTO_TEST_CASE(unreleased_grant_ends_after_run_deadline_and_margin) {
  warm_table t(1, 1);
  const auto lost = t.ask(ask_of(1)).front();
  for (int ms = 0; ms < 1090; ms += 10) {
    t.advance(10);
    BOOST_REQUIRE_EQUAL(t.in_flight(1), 1U);
  }
  t.advance(10);
  BOOST_CHECK_EQUAL(t.in_flight(1), 0U);
  BOOST_CHECK_EQUAL(t.granted(1), 1);
  // The late release does not free the new grant.
  t.release(lost);
  BOOST_CHECK_EQUAL(t.in_flight(1), 1U);
}

// Guards against duplicates of a release that raise the limit of a cold
// upstream.
BOOST_AUTO_TEST_CASE(copied_releases_do_not_warm_an_upstream) {
  table_fixture t(1, 3);
  t.authority(slot_authority::sole);
  const auto running = t.ask(ask_of(1)).front();
  for (int i = 0; i < 20; ++i) {
    t.release(running);
  }
  BOOST_CHECK_EQUAL(t.granted(3), 1);
}

// Guards against a slot that is freed by a balancer that does not own the
// grant.
BOOST_AUTO_TEST_CASE(only_the_owner_releases_a_grant) {
  warm_table t(1, 1);
  const auto running = t.ask(ask_of(1)).front();
  t.release(running, attempt_outcome::answered, 1, other_run);
  BOOST_CHECK_EQUAL(t.in_flight(1), 1U);
}

// Guards against new grants for upstreams and data centres that are out, and
// against full load on upstreams that return.
BOOST_AUTO_TEST_CASE(out_of_service_upstreams_get_no_grants_and_return_cold) {
  warm_table t(2, 3);
  t.current.services[hour_signal].upstreams[0].state = service_state::out;
  t.configure();
  BOOST_CHECK_EQUAL(t.granted(6), 3);
  BOOST_CHECK_EQUAL(t.in_flight(1), 0U);
  t.current.services[hour_signal].upstreams[0].state = service_state::in;
  t.configure();
  BOOST_CHECK_EQUAL(t.in_flight(1), 1U);
  t.current.data_centres[home].state = service_state::out;
  t.configure();
  t.answers();
  BOOST_CHECK(only_error(t.ask(ask_of(1))) == error_kind::no_capacity);
}

// Guards against an upstream that resets all requests and attracts all others,
// because it is always the least loaded one.
BOOST_AUTO_TEST_CASE(failing_upstream_is_backed_off) {
  warm_table t(2, 3);
  int failed = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    for (const auto& answer : t.ask(ask_of(1000 + ms))) {
      const bool fails = answer.upstream == upstream_id(1);
      failed += fails ? 1 : 0;
      t.release(answer,
                fails ? attempt_outcome::reset : attempt_outcome::answered,
                fails ? 0 : 1);
    }
    t.advance(1);
  }
  BOOST_CHECK_LE(failed, 8);
}

// Guards against asks that wait while a new decider cannot grant any slot,
// although another data centre could serve them.
BOOST_AUTO_TEST_CASE(asks_spill_while_nothing_may_be_granted) {
  table_fixture t(2, 2);
  t.authority(slot_authority::sole, false, {balancer_id(3)});
  auto ask = ask_of(1);
  BOOST_TEST(t.ask(ask).empty());
  // A repeat of the waiting ask, and the next repeat.
  ask.may_spill = true;
  for (int copy = 0; copy < 2; ++copy) {
    const auto answers = t.ask(ask);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_CHECK(answers[0].error == error_kind::no_capacity);
    BOOST_TEST(answers[0].may_wait);
  }
  // The quarantine is over: each cold upstream may run one request.
  t.advance(3200);
  BOOST_CHECK(only_error(t.ask(ask)) == error_kind::none);
}

// Guards against asks of other data centres that take all slots.
BOOST_AUTO_TEST_CASE(spill_leaves_one_slot_in_four) {
  warm_table t(4, 4);
  slot_ask spill = ask_of(0);
  spill.data_centre = remote;
  int granted = 0;
  for (spill.ask = 1; spill.ask <= 16; ++spill.ask) {
    const bool is_granted =
        only_error(t.ask(spill, other_run)) == error_kind::none;
    granted += is_granted ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(granted, 12);
  BOOST_CHECK_EQUAL(t.granted(5), 4);
}

}  // namespace
}  // namespace rosemarydrum
