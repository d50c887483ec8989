#define BOOST_TEST_MODULE forwarder
#include "rosemarydrum/forwarding/forwarder.h"

#include <boost/test/unit_test.hpp>

#include "forwarder_fixture.h"

namespace rosemarydrum {
namespace {

using test_packets::ack;
using test_packets::datagram_of;
using test_packets::default_service;
using test_packets::fin;
using test_packets::flow_of;
using test_packets::rst;
using test_packets::syn;

constexpr auto data_centre_change_of = [](bool out) {
  return data_centre_change{"north", out};
};

// Guards against a flow whose packets go to different upstreams.
BOOST_FIXTURE_TEST_CASE(packets_follow_the_tag, forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  BOOST_REQUIRE(opened.fate == packet_fate::forward);
  for (int i = 1; i < 5; ++i) {
    const auto next = follow(1, opened, at(10 * i));
    BOOST_CHECK(next.upstream == opened.upstream);
    BOOST_CHECK(next.to == opened.to);
  }
  // Also through a forwarder that has never seen the flow.
  recording_observer none;
  BOOST_CHECK(follow(77, opened, at(100)).upstream == opened.upstream);
}

// Guards against a flow that changes its upstream because a second answer to
// its repeated opening packet came late and changed the tag.
BOOST_FIXTURE_TEST_CASE(the_first_tag_of_a_flow_counts, forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  const auto repeated = tested.due_packets(false, at(60));
  BOOST_REQUIRE_EQUAL(repeated.size(), 1U);
  const auto second = repeated[0].verdict;
  BOOST_REQUIRE(first.upstream != second.upstream);
  BOOST_CHECK(follow(1, second, at(70)).upstream == second.upstream);
  BOOST_CHECK(follow(1, first, at(80)).upstream == second.upstream);
}

// Guards against 200 ms that callers lose when an upstream does not answer, and
// against copies that go to the silent one again.
BOOST_FIXTURE_TEST_CASE(unanswered_openings_are_repeated_elsewhere,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  BOOST_CHECK(tested.due_packets(false, at(59)).empty());
  const auto repeated = tested.due_packets(false, at(60));
  BOOST_REQUIRE_EQUAL(repeated.size(), 1U);
  BOOST_CHECK(repeated[0].verdict.upstream != first.upstream);
  BOOST_CHECK(repeated[0].datagram == datagram_of({flow_of(1)}));
  BOOST_CHECK(seen.causes == std::vector{repeat_cause::timeout});
  // Answered in time: nothing is repeated.
  const auto other = open(2, at(100));
  follow(2, other, at(110));
  BOOST_CHECK_EQUAL(seen.handshakes, 1);
  BOOST_CHECK(tested.due_packets(false, at(119)).empty());
}

// Guards against a repeat while the caller's answer waits to be taken in, in a
// process that is short of processor time.
BOOST_FIXTURE_TEST_CASE(nothing_is_repeated_before_the_backlog,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  BOOST_CHECK(tested.due_packets(true, at(80)).empty());
  follow(1, opened, at(90));
  BOOST_CHECK(tested.due_packets(false, at(100)).empty());
}

// Guards against 200 ms that callers lose when they come before the process
// knows anything, and against packets that wait for ever.
BOOST_FIXTURE_TEST_CASE(packets_wait_for_the_first_configuration,
                        forwarder_fixture) {
  forwarder fresh({.name = "node-2", .data_centre = "north"}, codec, seen);
  const auto early = datagram_of({flow_of(1)});
  const auto late = datagram_of({flow_of(2)});
  BOOST_CHECK(fresh.on_packet(*codec.decode(early), start).reason ==
              fate_reason::held);
  fresh.on_packet(*codec.decode(late), at(300));
  BOOST_CHECK(fresh.due_packets(false, at(400)).empty());
  fleet_update news;
  auto routes = std::make_shared<fleet_configuration>();
  routes->routes.push_back(
      {"r", default_service, {{"desk", 1}}, {}, {}, {}, 0});
  news.changes.push_back({revision(1), configuration_change{routes}});
  news.changes.push_back({revision(2), upstream_change{record_state::present,
                                                       {upstream_key(1),
                                                        "desk",
                                                        "north",
                                                        {1, 80},
                                                        4,
                                                        false,
                                                        {},
                                                        incarnation(1)},
                                                       {}}});
  fresh.on_update(news, at(700));
  const auto released = fresh.due_packets(false, at(700));
  BOOST_REQUIRE_EQUAL(released.size(), 1U);
  BOOST_CHECK(released[0].verdict.fate == packet_fate::forward);
  BOOST_CHECK(released[0].datagram == late);
}

// Guards against repeats without bound, each of which may open a connection.
BOOST_FIXTURE_TEST_CASE(repeats_are_bounded, forwarder_fixture) {
  for (std::uint64_t key = 1; key <= 8; ++key) {
    add(key);
  }
  open(1, start);
  std::size_t repeats = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    repeats += tested.due_packets(false, at(ms)).size();
  }
  BOOST_CHECK_EQUAL(repeats, static_cast<std::size_t>(most_repeats));
  tested.tick(at(5000));
  BOOST_CHECK_EQUAL(seen.unanswered, 1);
}

// Guards against a caller's copy that goes to the upstream that was silent.
BOOST_FIXTURE_TEST_CASE(copies_of_callers_go_elsewhere, forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  tested.on_stall(milliseconds(500), start);
  const auto copy = take({flow_of(1), syn, 7, 1}, at(200));
  BOOST_CHECK(copy.upstream != first.upstream);
  BOOST_CHECK(seen.causes == std::vector{repeat_cause::callers_copy});
}

// Guards against a copy that was delayed and opens a second connection.
BOOST_FIXTURE_TEST_CASE(late_copies_stay_with_the_open_flow,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  follow(1, opened, at(10));
  const auto copy = take({flow_of(1), syn, 7, 1}, at(200));
  BOOST_CHECK(copy.upstream == opened.upstream);
  BOOST_CHECK(seen.causes.empty());
}

// Guards against a reset that is not true, or that comes late: a refused flow
// has no upstream anywhere.
BOOST_FIXTURE_TEST_CASE(flows_without_any_upstream_are_refused_at_once,
                        forwarder_fixture) {
  BOOST_CHECK(open(1, start).fate == packet_fate::reset);
  add(1);
  change(data_centre_change_of(true));
  BOOST_CHECK(open(2, start).fate == packet_fate::reset);
  BOOST_CHECK(seen.refused == (std::vector{fate_reason::no_upstream,
                                           fate_reason::no_upstream}));
}

// Guards against a final answer while other forwarders may reach upstreams
// that do not answer this one.
BOOST_FIXTURE_TEST_CASE(unreachable_upstreams_are_no_reason_for_a_reset,
                        forwarder_fixture) {
  add(1);
  packet_verdict last;
  for (std::uint16_t port = 1; port < 20; ++port) {
    last = open(port, at(20 * port));
    tested.due_packets(false, at(20 * port + 19));
  }
  BOOST_CHECK(last.fate == packet_fate::discard);
  BOOST_CHECK(last.reason == fate_reason::unreachable);
  BOOST_CHECK(seen.refused.empty());
  BOOST_CHECK_GE(seen.silent, 1);
  BOOST_CHECK(tested.ability().is_unable(at(400)));
}

// Guards against a reset for a route that is newer than what is known here.
BOOST_FIXTURE_TEST_CASE(unknown_routes_get_no_answer, forwarder_fixture) {
  const auto verdict = take({flow_of(1, {5, 5})}, start);
  BOOST_CHECK(verdict.fate == packet_fate::discard);
  BOOST_CHECK(verdict.reason == fate_reason::no_route);
}

// Guards against open flows that go on after their route was removed.
BOOST_FIXTURE_TEST_CASE(flows_of_removed_routes_end, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  follow(1, opened, at(10));
  auto without = std::make_shared<fleet_configuration>();
  without->version = 2;
  change(configuration_change{without});
  BOOST_CHECK(follow(1, opened, at(20)).fate == packet_fate::reset);
}

// Guards against open flows that end with a data centre at once, and against
// packets to it after the users' bound.
BOOST_FIXTURE_TEST_CASE(flows_to_a_data_centre_that_is_out_end_in_time,
                        forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  follow(1, opened, at(10));
  change(data_centre_change_of(true));
  BOOST_CHECK(follow(1, opened, at(4900)).fate == packet_fate::forward);
  const auto late = follow(1, opened, at(5000));
  BOOST_CHECK(late.fate == packet_fate::discard);
  BOOST_CHECK(late.reason == fate_reason::data_centre_out);
  change(data_centre_change_of(false));
  BOOST_CHECK(follow(1, opened, at(5100)).fate == packet_fate::forward);
}

// Guards against packets that belong to nobody's flow, or are not a caller's.
BOOST_FIXTURE_TEST_CASE(stray_packets_are_discarded, forwarder_fixture) {
  add(1);
  BOOST_CHECK(take({flow_of(1), ack, 8, 1, 0}, start).reason ==
              fate_reason::not_a_callers_packet);
  BOOST_CHECK(take({flow_of(1), ack, 8, 1, 12345}, start).reason ==
              fate_reason::unknown_tag);
  BOOST_CHECK(
      take({flow_of(1), std::uint8_t{syn | ack}, 8, 1, 1}, start).reason ==
      fate_reason::not_a_callers_packet);
  BOOST_CHECK(
      take({flow_of(1), std::uint8_t{syn | rst}, 8, 1, 1}, start).reason ==
      fate_reason::not_a_callers_packet);
  BOOST_CHECK_EQUAL(seen.discarded.size(), 4U);
}

// Guards against load that is counted on after a flow has ended.
BOOST_FIXTURE_TEST_CASE(ended_flows_free_their_place, forwarder_fixture) {
  add(1);
  add(2);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    const auto opened = open(port, at(port));
    follow(port, opened, at(port), ack, "GET / HTTP/1.1\r\n\r\n");
    follow(port, opened, at(port), fin | ack);
  }
  BOOST_CHECK_EQUAL(seen.ended, 20);
  // Both are free, so that the choice is as at the start.
  const auto one = open(101, at(50));
  const auto other = open(102, at(50));
  BOOST_CHECK(one.upstream != other.upstream);
}

// Guards against a request that cannot be found in the log by its id.
BOOST_FIXTURE_TEST_CASE(the_requests_id_is_read, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  follow(1, opened, at(5));
  follow(1, opened, at(6), ack,
         "GET / HTTP/1.1\r\nHost: a\r\nx-request-id: 7f3a\r\n\r\n");
  follow(1, opened, at(7), ack,
         "GET / HTTP/1.1\r\nX-Request-Id: other\r\n\r\n");
  BOOST_CHECK(seen.requests == std::vector<std::string>{"7f3a"});
}

// Guards against flows that are placed by packets or knowledge as old as a
// stall of the process.
BOOST_FIXTURE_TEST_CASE(nothing_is_placed_right_after_a_stall,
                        forwarder_fixture) {
  add(1);
  tested.on_stall(milliseconds(500), start);
  BOOST_CHECK(open(1, start).reason == fate_reason::stalled);
  BOOST_CHECK(open(1, at(20)).fate == packet_fate::forward);
  tested.on_stall(seconds(4), at(100));
  BOOST_CHECK(open(2, at(150)).reason == fate_reason::stalled);
  fleet_update news;
  news.confirmed_at = at(101);
  tested.on_update(news, at(160));
  BOOST_CHECK(open(2, at(160)).fate == packet_fate::forward);
  // Without a confirmation it goes on after a while.
  tested.on_stall(seconds(4), at(200));
  BOOST_CHECK(open(3, at(799)).reason == fate_reason::stalled);
  BOOST_CHECK(open(3, at(800)).fate == packet_fate::forward);
}

// Guards against an answer of an upstream that goes unnoticed after silence.
BOOST_FIXTURE_TEST_CASE(silence_and_answers_are_told, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  tested.due_packets(false, at(60));
  BOOST_CHECK_EQUAL(seen.silent, 1);
  BOOST_CHECK(follow(1, opened, at(400)).fate == packet_fate::forward);
  BOOST_CHECK_EQUAL(seen.answers, 1);
}

// Guards against a process that takes itself and all upstreams for unable,
// because the fabric sent the answers to its first flows to other forwarders.
BOOST_FIXTURE_TEST_CASE(first_flows_are_no_evidence, forwarder_fixture) {
  constexpr int flows = 12;
  for (int i = 1; i <= flows; ++i) {
    add(static_cast<std::uint64_t>(i));
  }
  const auto play = [&](time_point now, std::uint16_t first_port) {
    for (int i = 0; i < flows; ++i) {
      open(static_cast<std::uint16_t>(first_port + i), now);
    }
    tested.due_packets(false, now + milliseconds(60));
  };
  play(start - seconds(10) + milliseconds(100), 100);
  BOOST_CHECK_EQUAL(seen.silent, 0);
  BOOST_CHECK(
      !tested.ability().is_unable(start - seconds(10) + milliseconds(160)));
  play(start, 200);
  BOOST_CHECK_GT(seen.silent, 0);
  BOOST_CHECK(tested.ability().is_unable(at(60)));
}

// Guards against callers that are turned away after a pause, because all
// upstreams are still taken for silent.
BOOST_FIXTURE_TEST_CASE(silence_is_forgotten_after_a_pause, forwarder_fixture) {
  constexpr int flows = 6;
  for (std::uint64_t i = 1; i <= 2; ++i) {
    add(i);
  }
  for (std::uint16_t i = 0; i < flows; ++i) {
    open(i, start);
  }
  tested.due_packets(false, at(60));
  tested.due_packets(false, at(120));
  tested.tick(at(130));
  BOOST_REQUIRE(tested.ability().is_unable(at(130)));
  const auto able_again = tested.ability().unable_until() + milliseconds(10);
  fleet_update news;
  news.confirmed_at = able_again;
  tested.on_update(news, able_again);
  BOOST_REQUIRE(!tested.ability().is_unable(able_again));
  tested.tick(able_again);
  for (std::uint16_t i = 0; i < flows; ++i) {
    BOOST_CHECK(open(static_cast<std::uint16_t>(100 + i), able_again).fate ==
                packet_fate::forward);
  }
}

// Guards against an older configuration that takes the place of a newer one.
BOOST_FIXTURE_TEST_CASE(older_configurations_are_ignored, forwarder_fixture) {
  auto newer = std::make_shared<fleet_configuration>();
  newer->version = 9;
  auto older = std::make_shared<fleet_configuration>();
  older->version = 8;
  fleet_update news;
  news.changes.push_back({revision(50), configuration_change{newer}});
  news.changes.push_back({revision(49), configuration_change{older}});
  tested.on_update(news, start);
  BOOST_CHECK_EQUAL(tested.routes().version(), 9U);
  news.changes = {{revision(60), data_centre_change{"north", true}},
                  {revision(59), data_centre_change{"north", false}}};
  add(1);
  tested.on_update(news, start);
  BOOST_CHECK(open(1, start).fate != packet_fate::forward);
}

}  // namespace
}  // namespace rosemarydrum
