#define BOOST_TEST_MODULE request_owner
#include "rosemarydrum/requests/request_owner.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "request_owner_fixture.h"
#include "request_simulation.h"

namespace rosemarydrum {
namespace {

// Guards against second runs, refusals that say "not run" for requests that
// run, mixed answers, lost slots and late sends. Messages are lost, duplicated
// and reordered, the owner pauses and restarts, and another balancer closes
// requests.
RC_BOOST_PROP(invariants_hold_under_faults, ()) {
  manual_time frozen_clock;
  request_simulation world(*rc::gen::arbitrary<std::uint64_t>(),
                           {.loss = 0.1,
                            .repeat = 0.2,
                            .shed = 0.1,
                            .closes = 0.5,
                            .pauses = *rc::gen::arbitrary<bool>(),
                            .dies = *rc::gen::arbitrary<bool>()});
  world.run(60);
  const auto found = world.check();
  RC_ASSERT(found.second_sends == 0);
  RC_ASSERT(found.false_not_run == 0);
  RC_ASSERT(found.wrong_answers == 0);
  RC_ASSERT(found.wrong_releases == 0);
  RC_ASSERT(found.late_sends == 0);
  RC_ASSERT(world.unfinished() == 0U);
  RC_ASSERT(world.answered() > 0U);
}

// Guards against requests that are lost without any fault.
BOOST_AUTO_TEST_CASE(all_answered_without_faults) {
  manual_time frozen_clock;
  request_simulation world(1, {});
  world.run(60);
  // The decider refuses one ask in 50.
  BOOST_TEST(world.answered() >= 55U);
  BOOST_TEST(world.check().wrong_releases == 0);
}

// Guards against sending a request that the witness has not recorded.
BOOST_FIXTURE_TEST_CASE(sent_only_after_record, request_owner_fixture) {
  const auto r = request(1, false);
  owner.on_request(r, now, out);
  const auto actions_at_start = out;
  BOOST_TEST(take<send_to_peer>().size() == 1U);
  out = actions_at_start;
  const auto ask = take<ask_slot>().at(0).ask.ask;
  grant(ask);
  BOOST_TEST(take<send_to_upstream>().empty());
  advance(milliseconds(50));
  const auto again = take<send_to_peer>();
  BOOST_TEST(again.size() == 1U);
  BOOST_CHECK(again[0].to_run == record_witness.run);
  owner.on_record_answer({record_witness.id, incarnation(21)}, {r.key, true},
                         now, out);
  BOOST_TEST(out.empty());
  record(r);
  record(r);
  const auto sent = take<send_to_upstream>();
  BOOST_TEST(sent.size() == 1U);
  BOOST_TEST(sent[0].datagram.header.send_by ==
             runtime_clock::to_unix(time_point(seconds(1000))) + 200);
}

// Guards against running a request that its witness has closed.
BOOST_FIXTURE_TEST_CASE(closed_request_is_refused_for_good,
                        request_owner_fixture) {
  const auto r = request(1, false);
  grant(start(r));
  record(r, false);
  auto replies = take<send_to_caller>();
  BOOST_TEST(replies.size() == 1U);
  BOOST_CHECK(replies[0].datagram.header.error == error_kind::owner_lost);
  BOOST_CHECK(replies[0].datagram.header.outcome == certainty::not_run);
  BOOST_TEST(!replies[0].datagram.token.empty());
  owner.on_request(r, now, out);
  BOOST_TEST(take<send_to_caller>().size() == 1U);
}

// Guards against a flow whose requests all wait for a record until their
// deadlines because the token's witness has stopped.
BOOST_FIXTURE_TEST_CASE(a_lost_witness_is_replaced, request_owner_fixture) {
  auto r = request(1, false);
  r.witness_lost = true;
  owner.on_request(r, now, out);
  const auto all = out;
  const auto replies = take<send_to_caller>();
  BOOST_REQUIRE_EQUAL(replies.size(), 1U);
  BOOST_CHECK(replies[0].datagram.header.error == error_kind::owner_lost);
  BOOST_CHECK(replies[0].datagram.header.outcome == certainty::not_run);
  BOOST_CHECK(!replies[0].datagram.token.empty());
  out = all;
  BOOST_CHECK(take<ask_slot>().empty());
  // The witness is alive after all: the refusal must stay true.
  r.witness_lost = false;
  owner.on_request(r, now, out);
  const auto again = out;
  BOOST_CHECK_EQUAL(take<send_to_caller>().size(), 1U);
  out = again;
  BOOST_CHECK(take<ask_slot>().empty());
}

// Guards against a caller that keeps using a token whose witness does not
// answer but is not suspected yet.
BOOST_FIXTURE_TEST_CASE(unrecorded_requests_get_a_fresh_token,
                        request_owner_fixture) {
  grant(start(request(1, false)));
  take<send_to_caller>();
  now += milliseconds(1001);
  owner.tick(now, out);
  const auto replies = take<send_to_caller>();
  BOOST_REQUIRE_EQUAL(replies.size(), 1U);
  BOOST_CHECK(replies[0].datagram.header.error ==
              error_kind::deadline_exceeded);
  BOOST_CHECK(replies[0].datagram.header.outcome == certainty::not_run);
  BOOST_CHECK(!replies[0].datagram.token.empty());
}

// Guards against sending a request with a grant that may have expired at the
// decider.
BOOST_FIXTURE_TEST_CASE(old_grant_is_void, request_owner_fixture) {
  const auto r = request(1, true);
  const auto ask = start(r);
  now += milliseconds(201);  // A pause without ticks.
  grant(ask);
  const auto all = out;
  BOOST_TEST(take<send_to_upstream>().empty());
  out = all;
  const auto released = take<release_slot>();
  BOOST_TEST(released.size() == 1U);
  BOOST_CHECK(released[0].release.outcome == attempt_outcome::unused);
  out = all;
  BOOST_TEST(take<ask_slot>().at(0).ask.ask != ask);
}

// Guards against a slot that is not released after its request has ended, and
// against a duplicate grant that releases a slot in use.
BOOST_FIXTURE_TEST_CASE(late_grants_are_released_once, request_owner_fixture) {
  const auto ask = start(request(1, true));
  grant(ask, 1);
  out.clear();
  grant(ask, 1);
  BOOST_TEST(out.empty());
  grant(ask, 2);
  BOOST_TEST(take<release_slot>().size() == 1U);
  grant(ask, 2);
  BOOST_TEST(out.empty());
  BOOST_TEST(owner.running(shard_of(service_1), now).size() == 1U);
  const auto other = start(request(2, true));
  advance(milliseconds(1100));
  out.clear();
  grant(other, 3);
  BOOST_TEST(take<release_slot>().size() == 1U);
}

// Guards against spilling before the own data centre has refused, and against
// running a later copy of a refused request.
BOOST_FIXTURE_TEST_CASE(spills_then_refuses_for_good, request_owner_fixture) {
  auto r = request(1, false);
  r.spill_to = {data_centre_id(2), data_centre_id(3)};
  auto ask = start(r);
  for (const auto next : r.spill_to) {
    refuse_slot(ask, error_kind::no_capacity);
    const auto spill = take<ask_slot>().at(0);
    BOOST_CHECK(spill.spill_to == next);
    ask = spill.ask.ask;
  }
  refuse_slot(ask, error_kind::no_capacity);
  const auto refusal = take<send_to_caller>().at(0).datagram.header;
  BOOST_CHECK(refusal.error == error_kind::no_capacity);
  BOOST_CHECK(refusal.outcome == certainty::not_run);
  advance(seconds(80));
  owner.on_request(r, now, out);
  BOOST_TEST(take<ask_slot>().empty());
  advance(seconds(20));
  owner.on_request(r, now, out);  // No longer kept, but its token has expired.
  BOOST_CHECK(take<send_to_caller>().at(0).datagram.header.error ==
              error_kind::token_expired);
}

// Guards against a request that waits in its own data centre until its deadline
// while another one could take it, against spilling while the own decider
// starts, and against giving up although the own data centre may recover.
BOOST_FIXTURE_TEST_CASE(spills_again_while_own_data_centre_may_recover,
                        request_owner_fixture) {
  auto r = request(1, false);
  r.spill_to = {data_centre_id(2)};
  start(r);
  advance(milliseconds(480));
  for (const auto& each : take<ask_slot>()) {
    BOOST_TEST(!each.ask.may_spill);
  }
  advance(milliseconds(100));
  auto asked = take<ask_slot>().back();
  for (int round = 0; round < 3; ++round) {
    BOOST_TEST(asked.ask.may_spill);
    BOOST_TEST(!asked.spill_to.has_value());
    refuse_slot(asked.ask.ask, error_kind::no_capacity, true);
    const auto spill = take<ask_slot>().at(0);
    BOOST_CHECK(spill.spill_to == data_centre_id(2));
    refuse_slot(spill.ask.ask, error_kind::no_capacity);
    BOOST_TEST(out.empty());
    advance(milliseconds(80));
    asked = take<ask_slot>().at(0);
  }
}

// Guards against refusing an established flow because its upstream's data
// centre has no decider at the moment.
BOOST_FIXTURE_TEST_CASE(pinned_elsewhere_waits_for_a_decider,
                        request_owner_fixture) {
  auto r = request(1, false);
  r.pinned = upstream_id(100);
  r.spill_to = {data_centre_id(2)};
  refuse_slot(start(r), error_kind::no_capacity);
  refuse_slot(take<ask_slot>().at(0).ask.ask, error_kind::no_capacity, true);
  BOOST_TEST(out.empty());
  advance(milliseconds(80));
  BOOST_TEST(!take<ask_slot>().at(0).spill_to.has_value());
}

// Guards against answering "not run" when the refusal cannot be kept, because
// a later copy could run.
BOOST_FIXTURE_TEST_CASE(full_table_refuses_with_unknown_outcome,
                        request_owner_fixture) {
  request_owner small(settings(1), tokens, 1);
  small.refuse(request(1, false), error_kind::rate_limited, now, out);
  BOOST_CHECK(take<send_to_caller>().at(0).datagram.header.outcome ==
              certainty::not_run);
  small.refuse(request(2, false), error_kind::rate_limited, now, out);
  BOOST_CHECK(take<send_to_caller>().at(0).datagram.header.outcome ==
              certainty::unknown);
  small.on_request(request(3, false), now, out);
  const auto all = out;
  BOOST_CHECK(take<send_to_caller>().at(0).datagram.header.outcome ==
              certainty::unknown);
  out = all;
  BOOST_TEST(take<ask_slot>().empty());
}

// Guards against keeping a refusal that asks the caller to send again.
BOOST_FIXTURE_TEST_CASE(token_required_can_be_sent_again,
                        request_owner_fixture) {
  auto r = request(1, false);
  const token owner_token = r.owner_token;
  r.owner_token = {};
  owner.refuse(r, error_kind::token_required, now, out);
  const auto refusal = take<send_to_caller>().at(0).datagram;
  BOOST_CHECK(refusal.header.outcome == certainty::not_run);
  const auto fresh = tokens.open(refusal.token, owner_token.flow);
  BOOST_REQUIRE(fresh.has_value());
  BOOST_CHECK(*fresh == owner_token);
  r.owner_token = *fresh;
  start(r);
}

// Guards against running a request again whose token has expired or names
// another owner.
BOOST_FIXTURE_TEST_CASE(requests_with_other_owner_or_expired_token_do_not_run,
                        request_owner_fixture) {
  auto other_owner = request(1, false);
  other_owner.owner_token.owner.run = incarnation(9);
  auto expired = request(2, false);
  expired.owner_token.expires = runtime_clock::to_unix(now);
  for (const auto& r : {other_owner, expired}) {
    owner.on_request(r, now, out);
    const auto all = out;
    BOOST_TEST(take<ask_slot>().empty());
    out = all;
    BOOST_CHECK(take<send_to_caller>().at(0).datagram.header.outcome ==
                certainty::unknown);
  }
}

}  // namespace
}  // namespace rosemarydrum
