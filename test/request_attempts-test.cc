#define BOOST_TEST_MODULE request_attempts
#include <boost/test/unit_test.hpp>

#include "request_owner_fixture.h"

/// Tests of how request_owner handles the attempts that it has sent.
namespace rosemarydrum {
namespace {

// Guards against sending a request again after an upstream may have run it, and
// against giving up a request that was shed.
BOOST_FIXTURE_TEST_CASE(non_idempotent_is_sent_again_only_if_shed,
                        request_owner_fixture) {
  const auto r = request(1, false);
  const auto ask = start(r);
  record(r);
  grant(ask);
  reply(take<send_to_upstream>().at(0), packet_kind::shed);
  const auto second = take<ask_slot>().at(0).ask;
  BOOST_CHECK(second.avoid == std::vector{upstream_id(1)});
  grant(second.ask, 2, 2);
  const auto sent = take<send_to_upstream>().at(0);
  // A shed after a part of the answer is wrong: the request has run.
  reply(sent, packet_kind::answer, 0, 2);
  reply(sent, packet_kind::shed);
  BOOST_TEST(take<ask_slot>().empty());
  owner.on_upstream_lost(upstream_id(2), now, out);
  reply(sent, packet_kind::shed);
  BOOST_TEST(take<ask_slot>().empty());
  advance(milliseconds(1000));
  const auto refusal = take<send_to_caller>().at(0).datagram.header;
  BOOST_CHECK(refusal.error == error_kind::outcome_unknown);
  BOOST_CHECK(refusal.outcome == certainty::unknown);
}

// Guards against a hedged request whose attempts both run to the end, and
// against more than one hedge.
BOOST_FIXTURE_TEST_CASE(hedge_wins_and_the_other_is_cancelled,
                        request_owner_fixture) {
  for (std::uint64_t i = 1; i <= 8; ++i) {
    grant(start(request(i, true)), i);
    const auto sent = take<send_to_upstream>().at(0);
    advance(milliseconds(20));
    reply(sent, packet_kind::answer);
  }
  out.clear();
  grant(start(request(9, true)), 9);
  out.clear();
  advance(milliseconds(50));
  BOOST_TEST(take<ask_slot>().empty());
  advance(milliseconds(10));
  const auto hedge = take<ask_slot>().at(0).ask;
  BOOST_CHECK(hedge.avoid == std::vector{upstream_id(1)});
  grant(hedge.ask, 10, 2);
  const auto sent = take<send_to_upstream>().at(0);
  advance(milliseconds(500));
  BOOST_TEST(take<ask_slot>().empty());
  reply(sent, packet_kind::answer);
  const auto all = out;
  BOOST_TEST(take<send_to_caller>().size() == 1U);
  out = all;
  BOOST_TEST(take<release_slot>().size() == 2U);
  out = all;
  const auto cancel = take<send_to_upstream>().at(0);
  BOOST_CHECK(cancel.datagram.header.kind == packet_kind::cancel);
  BOOST_CHECK(cancel.upstream == upstream_id(1));
}

// Guards against moving an established flow to an upstream that does not know
// it, and against a request that fails because its upstream is lost.
BOOST_FIXTURE_TEST_CASE(established_flow_stays_at_its_upstream,
                        request_owner_fixture) {
  auto r = request(1, true);
  r.opens_flow = false;
  r.pinned = upstream_id(1);
  grant(start(r));
  reply(take<send_to_upstream>().at(0), packet_kind::shed);
  const auto second = take<ask_slot>().at(0).ask;
  BOOST_CHECK(second.pinned == upstream_id(1));
  BOOST_TEST(second.avoid.empty());
  grant(second.ask, 2);
  out.clear();
  owner.on_upstream_lost(upstream_id(1), now, out);
  const auto third = take<ask_slot>().at(0).ask;
  BOOST_CHECK(third.pinned == upstream_id{});
  BOOST_CHECK(third.avoid == std::vector{upstream_id(1)});
  BOOST_TEST(third.opens_flow);
}

// Guards against an upstream that counts as cold because requests were sent to
// it shortly before their deadline.
BOOST_FIXTURE_TEST_CASE(early_end_at_the_deadline_is_no_fault,
                        request_owner_fixture) {
  const auto end_after = [&](milliseconds sent_for) {
    const auto r = request(static_cast<std::uint64_t>(sent_for.count()), true);
    const auto ask = start(r);
    advance(seconds(1) - sent_for);
    out.clear();
    grant(ask, static_cast<std::uint64_t>(sent_for.count()));
    advance(sent_for);
    return take<release_slot>().at(0).release.outcome;
  };
  BOOST_CHECK(end_after(milliseconds(10)) == attempt_outcome::unused);
  BOOST_CHECK(end_after(milliseconds(500)) == attempt_outcome::timed_out);
}

// Guards against retries that amplify an overload.
BOOST_FIXTURE_TEST_CASE(retries_are_bounded, request_owner_fixture) {
  int sends = 0;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    auto ask = start(request(i, true));
    for (bool done = false; !done; ++sends) {
      grant(ask, 100 * i + sends);
      reply(take<send_to_upstream>().at(0), packet_kind::shed);
      const auto next = take<ask_slot>();
      done = next.empty();
      ask = done ? 0 : next[0].ask.ask;
    }
  }
  // One for each request and the retry budget's burst of 10.
  BOOST_TEST(sends == 40);
}

// Guards against mixing in parts of other answers (guarantee 5) and against
// answers with a part missing.
BOOST_FIXTURE_TEST_CASE(other_parts_are_dropped_and_missing_parts_requested,
                        request_owner_fixture) {
  const auto r = request(1, true);
  grant(start(r));
  const auto sent = take<send_to_upstream>().at(0);
  const auto with = [&](auto change) {
    auto other = sent;
    change(other);
    reply(other, packet_kind::answer, 1, 3);
  };
  with([](auto& s) { s.upstream = upstream_id(2); });
  with([](auto& s) { s.datagram.header.flow = flow_id(2); });
  with([](auto& s) { s.datagram.header.request = request_id(2); });
  with([](auto& s) { ++s.datagram.header.attempt; });
  reply(sent, packet_kind::answer, 0, 3);
  with([](auto& s) { s.datagram.header.upstream_run = incarnation(9); });
  reply(sent, packet_kind::answer, 1, 4);
  reply(sent, packet_kind::answer, 2, 3);
  reply(sent, packet_kind::answer, 2, 3);
  BOOST_TEST(take<send_to_caller>().empty());
  advance(milliseconds(20));
  const auto resend = take<send_to_upstream>().at(0).datagram.header;
  BOOST_CHECK(resend.kind == packet_kind::resend);
  BOOST_TEST(resend.part == 1);
  reply(sent, packet_kind::answer, 1, 3);
  const auto first = take<send_to_caller>();
  BOOST_REQUIRE(first.size() == 3U);
  for (std::uint8_t i = 0; i < 3; ++i) {
    BOOST_TEST(first[i].datagram.payload == bytes{i});
    BOOST_TEST(first[i].datagram.header.attempt ==
               sent.datagram.header.attempt);
  }
  owner.on_request(r, now, out);  // A repeat gets the same answer.
  const auto second = take<send_to_caller>();
  BOOST_REQUIRE(second.size() == 3U);
  BOOST_CHECK(second[2].datagram.header == first[2].datagram.header);
  BOOST_CHECK(second[2].datagram.payload == first[2].datagram.payload);
}

/// Keeps at most 2 bytes of answers.
struct small_fixture : request_owner_fixture {
  small_fixture() : request_owner_fixture(2) {}
};

// Guards against kept answers that grow without bound, and against running a
// request again after its answer was dropped.
BOOST_FIXTURE_TEST_CASE(kept_answers_are_bounded, small_fixture) {
  const auto first = request(1, false);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    const auto r = request(i, false);
    const auto ask = start(r);
    record(r);
    grant(ask, i);
    reply(take<send_to_upstream>().at(0), packet_kind::answer);
    BOOST_TEST(take<send_to_caller>().size() == 1U);
  }
  owner.on_request(first, now, out);
  const auto repeat = take<send_to_caller>().at(0).datagram.header;
  BOOST_CHECK(repeat.error == error_kind::outcome_unknown);
}

}  // namespace
}  // namespace rosemarydrum
