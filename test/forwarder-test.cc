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

// Guards against packets of one flow that go to different upstreams.
BOOST_FIXTURE_TEST_CASE(packets_follow_the_tag, forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  BOOST_REQUIRE(opened.action == packet_action::forward);
  for (int i = 1; i < 5; ++i) {
    const auto next = send_next(1, opened, at(10 * i));
    BOOST_CHECK(next.upstream == opened.upstream);
    BOOST_CHECK(next.to == opened.to);
  }
  // A flow that the forwarder has not seen is routed by its tag.
  recording_observer none;
  BOOST_CHECK(send_next(77, opened, at(100)).upstream == opened.upstream);
}

// Guards against a flow that changes its upstream when a late second answer to
// its repeated opening packet changes the tag.
BOOST_FIXTURE_TEST_CASE(the_first_tag_of_a_flow_is_kept, forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  const auto repeated = tested.due_packets(false, at(60));
  BOOST_REQUIRE_EQUAL(repeated.size(), 1U);
  const auto second = repeated[0].verdict;
  BOOST_REQUIRE(first.upstream != second.upstream);
  BOOST_CHECK(send_next(1, second, at(70)).upstream == second.upstream);
  BOOST_CHECK(send_next(1, first, at(80)).upstream == second.upstream);
}

upstream_tag tag_of(const packet_verdict& verdict) {
  return upstream_directory::tag_of(verdict.upstream);
}

// FLOW: guards against a late answer of another upstream that leaves its tag
// with the caller, whose next packet then goes to it after a restart.
BOOST_FIXTURE_TEST_CASE(late_answers_name_the_upstream_of_the_flow,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  const auto second = tested.due_packets(false, at(60))[0].verdict;
  send_next(1, second, at(70));
  const auto told = tested.due_packets(false, at(70));
  BOOST_REQUIRE_EQUAL(told.size(), 1U);
  BOOST_CHECK(told[0].verdict.upstream == first.upstream);
  BOOST_CHECK(told[0].verdict.to == first.to);
  BOOST_CHECK(told[0].verdict.tag == tag_of(second));
  BOOST_CHECK(told[0].datagram == datagram_of({flow_of(1)}));
  // The packet was lost: the caller has the tag of the late answer.
  send_next(1, first, at(300));
  const auto again = tested.due_packets(false, at(300));
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  BOOST_CHECK(again[0].verdict.upstream == first.upstream);
  BOOST_CHECK(again[0].verdict.tag == tag_of(second));
  send_next(1, second, at(600));
  BOOST_CHECK(tested.due_packets(false, at(600)).empty());
}

/// Passes what one forwarder tells of flows to another one.
void tell(forwarder& from, forwarder& to, time_point now) {
  fleet_update update;
  update.confirmed_at = now;
  update.flows = from.take_flow_records();
  to.on_update(update, now);
}

/// Two forwarders with the same upstreams; the second one sees the copies.
struct two_forwarders : forwarder_fixture {
  two_forwarders() {
    for (std::uint64_t key = 1; key <= 4; ++key) {
      add(key);
      other.add(key);
    }
  }
  forwarder_fixture other;
};

// FLOW: guards against a copy of an opening packet that another forwarder sends
// to another upstream, so that the upstream of the first one answers late.
BOOST_FIXTURE_TEST_CASE(copies_elsewhere_are_told_to_the_first_forwarder,
                        two_forwarders) {
  const auto first = open(1, start);
  auto second = other.receive({flow_of(1), syn, 7, 1}, at(50));
  while (second.upstream == first.upstream) {
    second = other.receive({flow_of(1), syn, 7, 2}, at(51));
  }
  tell(other.tested, tested, at(51));
  other.send_next(1, second, at(56));
  tell(other.tested, tested, at(57));
  const auto told = tested.due_packets(false, at(57));
  BOOST_REQUIRE_EQUAL(told.size(), 1U);
  BOOST_CHECK(told[0].verdict.upstream == first.upstream);
  BOOST_CHECK(told[0].verdict.tag == tag_of(second));
  BOOST_CHECK(send_next(1, first, at(300)).upstream == second.upstream);
}

// FLOW: guards against a forwarder that has sent a copy of an opening packet
// and does not learn that the flow was opened through the first one.
BOOST_FIXTURE_TEST_CASE(the_first_forwarder_tells_of_an_open_flow,
                        two_forwarders) {
  const auto first = open(1, start);
  send_next(1, first, at(10));
  auto second = other.receive({flow_of(1), syn, 7, 1}, at(50));
  while (second.upstream == first.upstream) {
    second = other.receive({flow_of(1), syn, 7, 2}, at(51));
  }
  tell(other.tested, tested, at(55));
  tell(tested, other.tested, at(56));
  const auto told = other.tested.due_packets(false, at(56));
  BOOST_REQUIRE_EQUAL(told.size(), 1U);
  BOOST_CHECK(told[0].verdict.tag == tag_of(first));
  BOOST_CHECK(other.send_next(1, second, at(300)).upstream == first.upstream);
}

// FLOW: guards against a forwarder without any memory of a flow that goes by
// the tag of a late answer, and against the record of an earlier flow of its
// ends.
BOOST_FIXTURE_TEST_CASE(records_of_other_forwarders_go_before_the_tag,
                        two_forwarders) {
  const auto first = open(1, start);
  const auto second = tested.due_packets(false, at(60))[0].verdict;
  send_next(1, second, at(70));
  tell(tested, other.tested, at(71));
  BOOST_CHECK(other.send_next(1, first, at(80)).upstream == second.upstream);
  // A delayed copy of the opening packet.
  tell(tested, other.tested, at(90));
  forwarder_fixture third;
  for (std::uint64_t key = 1; key <= 4; ++key) {
    third.add(key);
  }
  send_next(1, second, at(100));
  fleet_update update;
  update.flows = {{flow_of(1), flow_record_kind::open, second.upstream, {}}};
  third.tested.on_update(update, at(100));
  BOOST_CHECK(third.receive({flow_of(1), syn, 7, 1}, at(200)).upstream ==
              second.upstream);
  // The caller uses the port again.
  const auto later = third.open(1, at(30'000));
  BOOST_CHECK(later.reason == verdict_reason::placed);
  const auto records = third.tested.take_flow_records();
  BOOST_REQUIRE_EQUAL(records.size(), 1U);
  BOOST_CHECK(records[0].kind == flow_record_kind::opening);
}

// FLOW: guards against a forwarder that repeats an opening packet because the
// caller's next packets go to another one.
BOOST_FIXTURE_TEST_CASE(flows_that_move_are_not_opened_again, two_forwarders) {
  const auto first = open(1, start);
  const auto moved = other.send_next(1, first, at(10));
  BOOST_CHECK(moved.upstream == first.upstream);
  BOOST_CHECK(moved.tag == tag_of(first));
  tell(other.tested, tested, at(12));
  BOOST_CHECK(tested.due_packets(false, at(100)).empty());
  BOOST_CHECK_EQUAL(observer.handshakes, 1);
  BOOST_CHECK(observer.causes.empty());
  // Later packets of flows that move are not announced.
  BOOST_CHECK(send_next(2, moved, at(20)).upstream == first.upstream);
  BOOST_CHECK(tested.take_flow_records().empty());
}

// Guards against opening packets to upstreams that take no flows any more, and
// against many packets to others than the flow's upstream.
BOOST_FIXTURE_TEST_CASE(few_upstreams_are_told_of_a_flow, forwarder_fixture) {
  for (std::uint64_t key = 1; key <= 6; ++key) {
    add(key);
  }
  open(1, start);
  tested.due_packets(false, at(60));
  tested.due_packets(false, at(120));
  receive({flow_of(1), syn, 7, 1}, at(200));
  const auto last = tested.due_packets(false, at(260));
  BOOST_REQUIRE_EQUAL(last.size(), 1U);
  send_next(1, last[0].verdict, at(270));
  BOOST_CHECK_EQUAL(tested.due_packets(false, at(270)).size(),
                    max_retagged_upstreams);
  const auto other = open(2, at(300));
  const auto repeated = tested.due_packets(false, at(360));
  BOOST_REQUIRE_EQUAL(repeated.size(), 1U);
  add(value_of(other.upstream), record_state::removed);
  send_next(2, repeated[0].verdict, at(370));
  BOOST_CHECK(tested.due_packets(false, at(370)).empty());
}

// Guards against callers that lose 200 ms until their own retransmission when
// an upstream does not answer, and against repeats to the same upstream.
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
  BOOST_CHECK(observer.causes == std::vector{repeat_cause::timeout});
  // Answered in time: nothing is repeated.
  const auto other = open(2, at(100));
  send_next(2, other, at(110));
  BOOST_CHECK_EQUAL(observer.handshakes, 1);
  BOOST_CHECK(tested.due_packets(false, at(119)).empty());
}

// Guards against a repeat in a process that is short of processor time, while
// the caller's reply is still in the receive queue.
BOOST_FIXTURE_TEST_CASE(openings_are_not_repeated_during_a_backlog,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  BOOST_CHECK(tested.due_packets(true, at(80)).empty());
  send_next(1, opened, at(90));
  BOOST_CHECK(tested.due_packets(false, at(100)).empty());
}

// Guards against callers that lose 200 ms because their packets arrive before
// the first configuration, and against packets that are held too long.
BOOST_FIXTURE_TEST_CASE(packets_wait_for_the_first_configuration,
                        forwarder_fixture) {
  forwarder fresh({.name = "node-2", .data_centre = "north"}, codec, observer);
  const auto early = datagram_of({flow_of(1)});
  const auto late = datagram_of({flow_of(2)});
  BOOST_CHECK(fresh.on_packet(*codec.decode(early), start).reason ==
              verdict_reason::held);
  fresh.on_packet(*codec.decode(late), at(300));
  BOOST_CHECK(fresh.due_packets(false, at(400)).empty());
  fleet_update update;
  auto routes = std::make_shared<fleet_configuration>();
  routes->routes.push_back(
      {"r", default_service, {{"desk", 1}}, {}, {}, {}, 0});
  update.changes.push_back({revision(1), configuration_change{routes}});
  update.changes.push_back({revision(2), upstream_change{record_state::present,
                                                         {upstream_key(1),
                                                          "desk",
                                                          "north",
                                                          {1, 80},
                                                          4,
                                                          false,
                                                          {},
                                                          incarnation(1)},
                                                         {}}});
  fresh.on_update(update, at(700));
  const auto released = fresh.due_packets(false, at(700));
  BOOST_REQUIRE_EQUAL(released.size(), 1U);
  BOOST_CHECK(released[0].verdict.action == packet_action::forward);
  BOOST_CHECK(released[0].datagram == late);
}

// Guards against unbounded repeats, each of which may open a connection.
BOOST_FIXTURE_TEST_CASE(repeats_are_bounded, forwarder_fixture) {
  for (std::uint64_t key = 1; key <= 8; ++key) {
    add(key);
  }
  open(1, start);
  std::size_t repeats = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    repeats += tested.due_packets(false, at(ms)).size();
  }
  BOOST_CHECK_EQUAL(repeats, static_cast<std::size_t>(max_opening_repeats));
  tested.tick(at(5000));
  BOOST_CHECK_EQUAL(observer.unanswered, 1);
}

// Guards against a retransmission that goes to the upstream that left the first
// transmission unanswered.
BOOST_FIXTURE_TEST_CASE(retransmissions_go_elsewhere, forwarder_fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  tested.on_stall(milliseconds(500), start);
  const auto copy = receive({flow_of(1), syn, 7, 1}, at(200));
  BOOST_CHECK(copy.upstream != first.upstream);
  BOOST_CHECK(observer.causes == std::vector{repeat_cause::callers_copy});
}

// Guards against a delayed retransmission that opens a second connection.
BOOST_FIXTURE_TEST_CASE(late_retransmissions_stay_with_the_open_flow,
                        forwarder_fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  send_next(1, opened, at(10));
  const auto copy = receive({flow_of(1), syn, 7, 1}, at(200));
  BOOST_CHECK(copy.upstream == opened.upstream);
  BOOST_CHECK(observer.causes.empty());
}

// Guards against a missing or late reset of flows that no forwarder can place.
BOOST_FIXTURE_TEST_CASE(flows_without_any_upstream_are_refused_at_once,
                        forwarder_fixture) {
  BOOST_CHECK(open(1, start).action == packet_action::reset);
  add(1);
  change(data_centre_change_of(true));
  BOOST_CHECK(open(2, start).action == packet_action::reset);
  BOOST_CHECK(observer.refused == (std::vector{verdict_reason::no_upstream,
                                               verdict_reason::no_upstream}));
}

// Guards against a reset, which is final, while other forwarders may reach the
// upstreams that do not answer this one.
BOOST_FIXTURE_TEST_CASE(no_reset_while_upstreams_are_unreachable,
                        forwarder_fixture) {
  add(1);
  packet_verdict last;
  for (std::uint16_t port = 1; port < 20; ++port) {
    last = open(port, at(20 * port));
    tested.due_packets(false, at(20 * port + 19));
  }
  BOOST_CHECK(last.action == packet_action::discard);
  BOOST_CHECK(last.reason == verdict_reason::unreachable);
  BOOST_CHECK(observer.refused.empty());
  BOOST_CHECK_GE(observer.silent, 1);
  BOOST_CHECK(tested.ability().is_unable(at(400)));
}

// Guards against a reset for a route that is newer than the configuration that
// this process has.
BOOST_FIXTURE_TEST_CASE(unknown_routes_get_no_reset, forwarder_fixture) {
  const auto verdict = receive({flow_of(1, {5, 5})}, start);
  BOOST_CHECK(verdict.action == packet_action::discard);
  BOOST_CHECK(verdict.reason == verdict_reason::no_route);
}

// FLOW: guards against a forwarder that resets an open flow whose route is
// newer than its configuration.
BOOST_FIXTURE_TEST_CASE(open_flows_wait_for_their_route, forwarder_fixture) {
  add(1);
  const auto tag = value_of(upstream_directory::tag_of(upstream_key(1)));
  const auto flow = flow_of(1, {5, 5});
  confirm(at(-100));
  for (int ms = 0; ms < 500; ms += 100) {
    const auto verdict = receive({flow, ack, 8, 1, tag}, at(ms));
    BOOST_CHECK(verdict.action == packet_action::forward);
    BOOST_CHECK(verdict.upstream == upstream_key(1));
  }
  // What was confirmed at about the time of the first packet tells nothing.
  confirm(at(900));
  BOOST_CHECK(tested.take_resets().empty());
  add_route({5, 5}, at(950));
  confirm(at(2000));
  BOOST_CHECK(tested.take_resets().empty());
  BOOST_CHECK(receive({flow, ack, 8, 1, tag}, at(2000)).action ==
              packet_action::forward);
  BOOST_CHECK(observer.refused.empty());
}

// Guards against a flow of a dropped route that continues at a forwarder that
// never knew the route.
BOOST_FIXTURE_TEST_CASE(flows_of_routes_dropped_before_end, forwarder_fixture) {
  add(1);
  const auto tag = value_of(upstream_directory::tag_of(upstream_key(1)));
  const auto flow = flow_of(1, {5, 5});
  receive({flow, ack, 8, 700, tag}, start);
  confirm(at(999));
  BOOST_CHECK(tested.take_resets().empty());
  confirm(at(1000));
  const auto resets = tested.take_resets();
  BOOST_REQUIRE_EQUAL(resets.size(), 1U);
  BOOST_CHECK(resets[0].flow == flow);
  BOOST_CHECK_EQUAL(resets[0].acknowledged, 700U);
  BOOST_CHECK(observer.refused == std::vector{verdict_reason::no_route});
  BOOST_CHECK_EQUAL(tested.flow_count(), 0U);
}

// Guards against a final answer from a state that nobody has confirmed lately.
BOOST_FIXTURE_TEST_CASE(outdated_state_refuses_nothing, forwarder_fixture) {
  BOOST_CHECK(open(1, at(1499)).action == packet_action::reset);
  const auto verdict = open(2, at(1500));
  BOOST_CHECK(verdict.action == packet_action::discard);
  BOOST_CHECK(verdict.reason == verdict_reason::outdated);
}

// Guards against open flows that continue after their route was removed.
BOOST_FIXTURE_TEST_CASE(flows_of_removed_routes_end, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  send_next(1, opened, at(10));
  auto without = std::make_shared<fleet_configuration>();
  without->version = 2;
  change(configuration_change{without});
  BOOST_CHECK(send_next(1, opened, at(20)).action == packet_action::reset);
}

// Guards against open flows that end as soon as their data centre is taken out
// of service, and against packets to it after the grace period of 5 s.
BOOST_FIXTURE_TEST_CASE(flows_to_a_data_centre_that_is_out_end_in_time,
                        forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  send_next(1, opened, at(10));
  change(data_centre_change_of(true));
  BOOST_CHECK(send_next(1, opened, at(4900)).action == packet_action::forward);
  const auto late = send_next(1, opened, at(5000));
  BOOST_CHECK(late.action == packet_action::discard);
  BOOST_CHECK(late.reason == verdict_reason::data_centre_out);
  change(data_centre_change_of(false));
  BOOST_CHECK(send_next(1, opened, at(5100)).action == packet_action::forward);
}

// Guards against forwarding packets without a known tag, and packets that
// callers do not send.
BOOST_FIXTURE_TEST_CASE(stray_packets_are_discarded, forwarder_fixture) {
  add(1);
  BOOST_CHECK(receive({flow_of(1), ack, 8, 1, 0}, start).reason ==
              verdict_reason::not_a_callers_packet);
  BOOST_CHECK(receive({flow_of(1), ack, 8, 1, 12345}, start).reason ==
              verdict_reason::unknown_tag);
  BOOST_CHECK(
      receive({flow_of(1), std::uint8_t{syn | ack}, 8, 1, 1}, start).reason ==
      verdict_reason::not_a_callers_packet);
  BOOST_CHECK(
      receive({flow_of(1), std::uint8_t{syn | rst}, 8, 1, 1}, start).reason ==
      verdict_reason::not_a_callers_packet);
  BOOST_CHECK_EQUAL(observer.discarded.size(), 4U);
}

// Guards against flows that still count as load after they have ended.
BOOST_FIXTURE_TEST_CASE(ended_flows_release_their_upstream, forwarder_fixture) {
  add(1);
  add(2);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    const auto opened = open(port, at(port));
    send_next(port, opened, at(port), ack, "GET / HTTP/1.1\r\n\r\n");
    send_next(port, opened, at(port), fin | ack);
  }
  BOOST_CHECK_EQUAL(observer.ended, 20);
  // Neither upstream has load, so each gets one of two new flows.
  const auto one = open(101, at(50));
  const auto other = open(102, at(50));
  BOOST_CHECK(one.upstream != other.upstream);
}

// Guards against requests that cannot be found in the log by their id.
BOOST_FIXTURE_TEST_CASE(the_request_id_is_extracted, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  send_next(1, opened, at(5));
  send_next(1, opened, at(6), ack,
            "GET / HTTP/1.1\r\nHost: a\r\nx-request-id: 7f3a\r\n\r\n");
  send_next(1, opened, at(7), ack,
            "GET / HTTP/1.1\r\nX-Request-Id: other\r\n\r\n");
  BOOST_CHECK(observer.requests == std::vector<std::string>{"7f3a"});
}

// Guards against placing flows after a stall from packets that their callers
// have given up, or according to an outdated state of the fleet.
BOOST_FIXTURE_TEST_CASE(nothing_is_placed_right_after_a_stall,
                        forwarder_fixture) {
  add(1);
  tested.on_stall(milliseconds(500), start);
  BOOST_CHECK(open(1, start).reason == verdict_reason::stalled);
  BOOST_CHECK(open(1, at(20)).action == packet_action::forward);
  tested.on_stall(seconds(4), at(100));
  BOOST_CHECK(open(2, at(150)).reason == verdict_reason::stalled);
  fleet_update update;
  update.confirmed_at = at(101);
  tested.on_update(update, at(160));
  BOOST_CHECK(open(2, at(160)).action == packet_action::forward);
  // Without a confirmation, placement resumes after a timeout.
  tested.on_stall(seconds(4), at(200));
  BOOST_CHECK(open(3, at(799)).reason == verdict_reason::stalled);
  BOOST_CHECK(open(3, at(800)).action == packet_action::forward);
}

// Guards against a silent upstream whose next answer is not reported.
BOOST_FIXTURE_TEST_CASE(silence_and_recovery_are_reported, forwarder_fixture) {
  add(1);
  const auto opened = open(1, start);
  tested.due_packets(false, at(60));
  BOOST_CHECK_EQUAL(observer.silent, 1);
  BOOST_CHECK(send_next(1, opened, at(400)).action == packet_action::forward);
  BOOST_CHECK_EQUAL(observer.answers, 1);
}

// Guards against a new process that considers itself unable and all upstreams
// silent, because the fabric sent the later packets of its first flows to other
// forwarders.
BOOST_FIXTURE_TEST_CASE(first_flows_are_not_judged, forwarder_fixture) {
  constexpr int flows = 12;
  for (int i = 1; i <= flows; ++i) {
    add(static_cast<std::uint64_t>(i));
  }
  const auto open_without_answers = [&](time_point now,
                                        std::uint16_t first_port) {
    for (int i = 0; i < flows; ++i) {
      open(static_cast<std::uint16_t>(first_port + i), now);
    }
    tested.due_packets(false, now + milliseconds(60));
  };
  open_without_answers(start - seconds(10) + milliseconds(100), 100);
  BOOST_CHECK_EQUAL(observer.silent, 0);
  BOOST_CHECK(
      !tested.ability().is_unable(start - seconds(10) + milliseconds(160)));
  open_without_answers(start, 200);
  BOOST_CHECK_GT(observer.silent, 0);
  BOOST_CHECK(tested.ability().is_unable(at(60)));
}

// Guards against refusing callers after the pause of an unable process, because
// all upstreams still count as silent.
BOOST_FIXTURE_TEST_CASE(silent_upstreams_are_retried_after_a_pause,
                        forwarder_fixture) {
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
  fleet_update update;
  update.confirmed_at = able_again;
  tested.on_update(update, able_again);
  BOOST_REQUIRE(!tested.ability().is_unable(able_again));
  tested.tick(able_again);
  for (std::uint16_t i = 0; i < flows; ++i) {
    BOOST_CHECK(open(static_cast<std::uint16_t>(100 + i), able_again).action ==
                packet_action::forward);
  }
}

// Guards against a delayed older change that overwrites a newer one.
BOOST_FIXTURE_TEST_CASE(older_configurations_are_ignored, forwarder_fixture) {
  auto newer = std::make_shared<fleet_configuration>();
  newer->version = 9;
  auto older = std::make_shared<fleet_configuration>();
  older->version = 8;
  fleet_update update;
  update.changes.push_back({revision(50), configuration_change{newer}});
  update.changes.push_back({revision(49), configuration_change{older}});
  tested.on_update(update, start);
  BOOST_CHECK_EQUAL(tested.routes().version(), 9U);
  update.changes = {{revision(60), data_centre_change{"north", true}},
                    {revision(59), data_centre_change{"north", false}}};
  add(1);
  tested.on_update(update, start);
  BOOST_CHECK(open(1, start).action != packet_action::forward);
}

// FAILBACK: guards against full load on cold upstreams of a data centre that
// was put back before this process started.
BOOST_FIXTURE_TEST_CASE(a_learned_return_of_a_data_centre_counts,
                        forwarder_fixture) {
  add(1);
  add_remote(2);
  change(data_centre_change{"north", false, milliseconds(1500)});
  // Entries may be 2 s old, and upstreams stay cold for 2 s.
  for (std::uint16_t port = 1; port <= 20; ++port) {
    BOOST_CHECK(open(port, at(2400)).upstream == upstream_key(2));
  }
  BOOST_CHECK(open(21, at(2501)).upstream == upstream_key(1));
}

// Guards against processes that start together, and treat warm upstreams as
// cold because operators had once taken their data centre out.
BOOST_FIXTURE_TEST_CASE(earlier_returns_of_a_data_centre_do_not_count,
                        forwarder_fixture) {
  add(1);
  add_remote(2);
  change(data_centre_change{"north", false, milliseconds(4000)});
  BOOST_CHECK(open(1, start).upstream == upstream_key(1));
  change(data_centre_change{"north", false});
  BOOST_CHECK(open(2, at(1)).upstream == upstream_key(1));
}

// FAILBACK: guards against a return that has no effect, because its time is
// learned after the return itself.
BOOST_FIXTURE_TEST_CASE(the_time_of_a_return_may_be_learned_later,
                        forwarder_fixture) {
  add(1);
  add_remote(2);
  fleet_update update;
  update.changes = {{revision(60), data_centre_change{"north", false}}};
  tested.on_update(update, start);
  BOOST_CHECK(open(1, start).upstream == upstream_key(1));
  update.changes = {
      {revision(60), data_centre_change{"north", false, milliseconds(500)}}};
  tested.on_update(update, start);
  for (std::uint16_t port = 2; port <= 20; ++port) {
    BOOST_CHECK(open(port, at(100)).upstream == upstream_key(2));
  }
}

// FAILBACK: guards against upstreams that count as cold for too short a time,
// because the return of their data centre was known before the configuration.
BOOST_FIXTURE_TEST_CASE(returns_known_before_the_configuration_count,
                        forwarder_fixture) {
  add(1);
  add_remote(2);
  change(data_centre_change{"north", false, milliseconds(0)});
  auto routes = std::make_shared<fleet_configuration>(configuration());
  routes->version = 2;
  routes->services[0].warmup = seconds(5);
  change(configuration_change{routes});
  for (std::uint16_t port = 1; port <= 20; ++port) {
    BOOST_CHECK(open(port, at(6900)).upstream == upstream_key(2));
  }
  BOOST_CHECK(open(21, at(7001)).upstream == upstream_key(1));
}

}  // namespace
}  // namespace rosemarydrum
