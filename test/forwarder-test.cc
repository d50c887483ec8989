#define BOOST_TEST_MODULE forwarder
#include "rosemarydrum/forwarding/forwarder.h"

#include <boost/test/unit_test.hpp>
#include <functional>

#include "fleet/test_packets.h"
#include "platform/packet_codec.h"

namespace rosemarydrum {
namespace {

using test_packets::ack;
using test_packets::datagram_of;
using test_packets::default_service;
using test_packets::fin;
using test_packets::flow_of;
using test_packets::head;
using test_packets::rst;
using test_packets::syn;

/// Counts what it hears of.
struct recording_observer : forwarder_observer {
  void on_handshake(const open_flow&, time_point) override { ++handshakes; }
  void on_opened(const open_flow& flow, const known_upstream&,
                 time_point) override {
    requests.push_back(flow.request);
  }
  void on_placed_again(const open_flow&, const known_upstream&,
                       const known_upstream&, duration, repeat_cause cause,
                       time_point) override {
    causes.push_back(cause);
  }
  void on_refused(const flow_packet&, fate_reason reason, const std::string&,
                  const std::string&, const upstream_census&,
                  time_point) override {
    refused.push_back(reason);
  }
  void on_unanswered(const open_flow&, const known_upstream&,
                     time_point) override {
    ++unanswered;
  }
  void on_discarded(const flow_packet&, fate_reason reason,
                    time_point) override {
    discarded.push_back(reason);
  }
  void on_ended(const open_flow&, const known_upstream&, time_point) override {
    ++ended;
  }
  void on_silent(const open_flow&, const known_upstream&, int,
                 time_point) override {
    ++silent;
  }
  void on_answers(const open_flow&, const known_upstream&, duration,
                  time_point) override {
    ++answers;
  }
  void on_failed(const open_flow&, const known_upstream&, double,
                 time_point) override {
    ++failed;
  }
  void on_ejected(const known_upstream& upstream, double, time_point) override {
    ejected.push_back(upstream.record.key);
  }
  void on_restored(const known_upstream&, time_point) override { ++restored; }

  int handshakes = 0;
  int unanswered = 0;
  int ended = 0;
  int silent = 0;
  int answers = 0;
  int failed = 0;
  int restored = 0;
  std::vector<upstream_key> ejected;
  std::vector<std::string> requests;
  std::vector<repeat_cause> causes;
  std::vector<fate_reason> refused;
  std::vector<fate_reason> discarded;
};

struct fixture {
  static constexpr time_point start{seconds(100)};
  static time_point at(int ms) { return start + milliseconds(ms); }

  fixture() {
    auto routes = std::make_shared<fleet_configuration>();
    routes->version = 1;
    routes->routes.push_back({"r-desk",
                              default_service,
                              {{"desk", 1}},
                              request_type::idempotent,
                              milliseconds(1500),
                              milliseconds(300),
                              0});
    routes->services.push_back({"desk", milliseconds(2000), 0});
    // Long enough ago for the process to be in rotation.
    change(configuration_change{routes}, start - seconds(10));
  }

  void change(decltype(fleet_change::what) what, time_point now = start) {
    fleet_update news;
    news.confirmed_at = start;
    revision_ = revision(value_of(revision_) + 1);
    news.changes.push_back({revision_, std::move(what)});
    tested.on_update(news, now);
  }

  void add(std::uint64_t key, record_state state = record_state::present) {
    change(upstream_change{state,
                           {upstream_key(key),
                            "desk",
                            "north",
                            {static_cast<std::uint32_t>(key), 80},
                            4,
                            false,
                            milliseconds(0),
                            incarnation(1)},
                           milliseconds(0)});
  }

  packet_verdict take(const head& from, time_point now,
                      const std::string& data = {}) {
    const auto datagram = datagram_of(from, data);
    return tested.on_packet(*codec.decode(datagram), now);
  }

  packet_verdict open(std::uint16_t port, time_point now) {
    return take({flow_of(port)}, now);
  }
  packet_verdict follow(std::uint16_t port, const packet_verdict& opened,
                        time_point now, std::uint8_t flags = ack,
                        const std::string& data = {}) {
    return take({flow_of(port), flags, 8, 1, value_of(opened.tag)}, now, data);
  }

  platform::packet_codec codec;
  recording_observer seen;
  forwarder tested{{.name = "node-1", .data_centre = "north"}, codec, seen};

 private:
  revision revision_{};
};

constexpr auto data_centre_change_of = [](bool out) {
  return data_centre_change{"north", out};
};

/// A forwarder that has seen enough answers to know what is usual.
struct answered_fixture : fixture {
  answered_fixture() {
    for (std::uint64_t key = 1; key <= 6; ++key) {
      add(key);
    }
    for (int i = 0; i < 40; ++i) {
      serve([](upstream_key) { return 4000; });
    }
  }

  /// A request at one upstream after the other; `bytes_of` says how long the
  /// upstream's answer is, 0 for none. Returns who got it.
  upstream_key serve(const std::function<int(upstream_key)>& bytes_of) {
    ++port;
    time += 20;
    const auto opened = open(port, at(time));
    follow(port, opened, at(time + 2), ack, "GET / HTTP/1.1\r\n\r\n");
    if (const int bytes = bytes_of(opened.upstream); bytes > 0) {
      take({flow_of(port), fin | ack, 8, static_cast<std::uint32_t>(1 + bytes),
            value_of(opened.tag)},
           at(time + 10));
    }
    return opened.upstream;
  }

  std::uint16_t port = 0;
  int time = 0;
};

// Guards against an upstream that gets the more flows the faster it fails them.
BOOST_FIXTURE_TEST_CASE(upstreams_that_answer_with_errors_are_ejected,
                        answered_fixture) {
  const upstream_key failing{3};
  int at_failing = 0;
  for (int i = 0; i < 60; ++i) {
    at_failing += serve([&](upstream_key key) {
                    return key == failing ? 150 : 4000;
                  }) == failing
                      ? 1
                      : 0;
  }
  BOOST_CHECK_LE(at_failing, 4);
  BOOST_CHECK(seen.ejected == std::vector{failing});
  const auto told = tested.take_failures();
  BOOST_CHECK(told == (std::vector<upstream_failures>{
                          {failing, static_cast<std::uint32_t>(at_failing)}}));
  BOOST_CHECK(!tested.has_failures());
  tested.tick(at(time + 6000));
  BOOST_CHECK_EQUAL(seen.restored, 1);
}

// Guards against an upstream that takes requests and never answers them, and
// against waiting for their deadlines to see it.
BOOST_FIXTURE_TEST_CASE(upstreams_that_never_answer_are_ejected,
                        answered_fixture) {
  const upstream_key failing{3};
  std::vector<packet_verdict> opened;
  for (std::uint16_t i = 0; i < 24; ++i) {
    opened.push_back(open(1000 + i, at(time)));
    follow(1000 + i, opened[i], at(time + 2), ack, "GET / HTTP/1.1\r\n\r\n");
  }
  for (std::uint16_t i = 0; i < 24; ++i) {
    if (opened[i].upstream != failing) {
      take({flow_of(1000 + i), fin | ack, 8, 4001, value_of(opened[i].tag)},
           at(time + 50));
    }
  }
  tested.tick(at(time + 1000));
  BOOST_CHECK_EQUAL(seen.failed, 0);
  tested.tick(at(time + 1010));
  BOOST_CHECK_EQUAL(seen.failed, 4);
  BOOST_CHECK(seen.ejected == std::vector{failing});
}

// Guards against a member that learns by its own callers' failures only.
BOOST_FIXTURE_TEST_CASE(failures_told_by_members_count, answered_fixture) {
  fleet_update news;
  news.failures = {{upstream_key(2), 2}, {upstream_key(99), 5}};
  tested.on_update(news, at(time));
  BOOST_CHECK(seen.ejected.empty());
  tested.on_update(news, at(time));
  BOOST_CHECK(seen.ejected == std::vector{upstream_key(2)});
  // What members tell is theirs to tell.
  BOOST_CHECK(!tested.has_failures());
}

// Guards against a flow whose packets go to different upstreams.
BOOST_FIXTURE_TEST_CASE(packets_follow_the_tag, fixture) {
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
BOOST_FIXTURE_TEST_CASE(the_first_tag_of_a_flow_counts, fixture) {
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
BOOST_FIXTURE_TEST_CASE(unanswered_openings_are_repeated_elsewhere, fixture) {
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
BOOST_FIXTURE_TEST_CASE(nothing_is_repeated_before_the_backlog, fixture) {
  add(1);
  add(2);
  const auto opened = open(1, start);
  BOOST_CHECK(tested.due_packets(true, at(80)).empty());
  follow(1, opened, at(90));
  BOOST_CHECK(tested.due_packets(false, at(100)).empty());
}

// Guards against 200 ms that callers lose when they come before the process
// knows anything, and against packets that wait for ever.
BOOST_FIXTURE_TEST_CASE(packets_wait_for_the_first_configuration, fixture) {
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
BOOST_FIXTURE_TEST_CASE(repeats_are_bounded, fixture) {
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
BOOST_FIXTURE_TEST_CASE(copies_of_callers_go_elsewhere, fixture) {
  add(1);
  add(2);
  const auto first = open(1, start);
  tested.on_stall(milliseconds(500), start);
  const auto copy = take({flow_of(1), syn, 7, 1}, at(200));
  BOOST_CHECK(copy.upstream != first.upstream);
  BOOST_CHECK(seen.causes == std::vector{repeat_cause::callers_copy});
}

// Guards against a copy that was delayed and opens a second connection.
BOOST_FIXTURE_TEST_CASE(late_copies_stay_with_the_open_flow, fixture) {
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
                        fixture) {
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
                        fixture) {
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
BOOST_FIXTURE_TEST_CASE(unknown_routes_get_no_answer, fixture) {
  const auto verdict = take({flow_of(1, {5, 5})}, start);
  BOOST_CHECK(verdict.fate == packet_fate::discard);
  BOOST_CHECK(verdict.reason == fate_reason::no_route);
}

// Guards against open flows that go on after their route was removed.
BOOST_FIXTURE_TEST_CASE(flows_of_removed_routes_end, fixture) {
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
                        fixture) {
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
BOOST_FIXTURE_TEST_CASE(stray_packets_are_discarded, fixture) {
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
BOOST_FIXTURE_TEST_CASE(ended_flows_free_their_place, fixture) {
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
BOOST_FIXTURE_TEST_CASE(the_requests_id_is_read, fixture) {
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
BOOST_FIXTURE_TEST_CASE(nothing_is_placed_right_after_a_stall, fixture) {
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
BOOST_FIXTURE_TEST_CASE(silence_and_answers_are_told, fixture) {
  add(1);
  const auto opened = open(1, start);
  tested.due_packets(false, at(60));
  BOOST_CHECK_EQUAL(seen.silent, 1);
  BOOST_CHECK(follow(1, opened, at(400)).fate == packet_fate::forward);
  BOOST_CHECK_EQUAL(seen.answers, 1);
}

// Guards against a process that takes itself and all upstreams for unable,
// because the fabric sent the answers to its first flows to other forwarders.
BOOST_FIXTURE_TEST_CASE(first_flows_are_no_evidence, fixture) {
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
BOOST_FIXTURE_TEST_CASE(silence_is_forgotten_after_a_pause, fixture) {
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
BOOST_FIXTURE_TEST_CASE(older_configurations_are_ignored, fixture) {
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
