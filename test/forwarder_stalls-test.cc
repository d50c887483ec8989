#define BOOST_TEST_MODULE forwarder_stalls
// Long flows whose upstream falls silent without notice, or behind a cut.
#include <boost/test/unit_test.hpp>
#include <map>

#include "forwarder_fixture.h"

namespace rosemarydrum {
namespace {

using test_packets::ack;
using test_packets::flow_of;

constexpr endpoint corrections{0xc6120001, 8080};
constexpr upstream_key dead{3};

/// A forwarder with four upstreams and a second route whose requests must run
/// at most once. Callers keep their flows open.
struct long_flows : forwarder_fixture {
  static constexpr int upstreams = 4;

  long_flows() {
    auto routes = std::make_shared<fleet_configuration>();
    routes->version = 2;
    routes->idle_timeout = seconds(15);
    for (const auto& [name, address, type] :
         {std::tuple("r-desk", test_packets::default_service,
                     request_type::idempotent),
          std::tuple("r-corrections", corrections,
                     request_type::non_idempotent)}) {
      routes->routes.push_back({name,
                                address,
                                {{"desk", 1}},
                                type,
                                milliseconds(500),
                                milliseconds(120),
                                0});
    }
    routes->services.push_back({"desk", milliseconds(2000), 0});
    change(configuration_change{routes});
    for (int i = 1; i <= upstreams; ++i) {
      add(static_cast<std::uint64_t>(i));
    }
  }

  struct session {
    packet_verdict opened;
    flow_ends flow;
    std::uint32_t sent = 8;
    std::uint32_t acknowledged = 1;
  };

  static constexpr std::size_t request_size = 100;

  /// Opens a flow and completes one request on it.
  std::uint16_t open_session(int ms, const endpoint& service) {
    const auto port = ++last_port;
    auto& opened = sessions[port];
    opened.flow = flow_of(port, service);
    opened.opened = receive({opened.flow}, at(ms));
    send(port, ms + 1, {});
    request(port, ms + 2);
    answer(port, ms + 20);
    tested.due_packets(false, at(ms + 80));
    return port;
  }
  /// Opens flows until the upstream has one of `service`.
  std::uint16_t session_at(
      upstream_key upstream, int ms,
      const endpoint& service = test_packets::default_service) {
    for (int i = 0; i < 400; ++i) {
      const auto port = open_session(ms, service);
      if (sessions[port].opened.upstream == upstream) {
        return port;
      }
    }
    BOOST_FAIL("no flow was placed at the upstream");
    return 0;
  }

  packet_verdict send(std::uint16_t port, int ms, const std::string& data,
                      std::uint8_t flags = ack) {
    const auto& each = sessions[port];
    return receive({each.flow, flags, each.sent, each.acknowledged,
                    value_of(each.opened.tag)},
                   at(ms), data);
  }
  packet_verdict request(std::uint16_t port, int ms) {
    const auto verdict = repeat(port, ms);
    sessions[port].sent += request_size;
    last_request[port] = sessions[port].sent - request_size;
    return verdict;
  }
  /// Sends the data of the next request without advancing.
  packet_verdict repeat(std::uint16_t port, int ms) {
    return send(port, ms, std::string(request_size, 'x'));
  }
  /// Sends the data of the current request again.
  packet_verdict copy(std::uint16_t port, int ms) {
    const auto sent = std::exchange(sessions[port].sent, last_request[port]);
    const auto verdict = repeat(port, ms);
    sessions[port].sent = sent;
    return verdict;
  }
  void answer(std::uint16_t port, int ms) {
    sessions[port].acknowledged += 2000;
    send(port, ms, {});
  }
  /// Keeps the other upstreams answering until `ms`.
  void run_until(int ms) {
    for (; time < ms; time += 10) {
      for (const auto port : healthy) {
        request(port, time);
        answer(port, time + 5);
      }
      tested.due_packets(false, at(time + 6));
    }
  }
  /// What another member tells at `ms` of data that it sent at `sent`.
  static fleet_update lost_at_members(const std::vector<int>& sent, int ms,
                                      upstream_key upstream = dead) {
    fleet_update update;
    std::uint64_t reporter = 6;
    for (const int each : sent) {
      update.sightings.push_back(
          {incarnation(++reporter),
           {upstream, sighting_kind::lost_data, milliseconds(ms - each)}});
    }
    return update;
  }
  static fleet_update answered_at_member(milliseconds age) {
    fleet_update update;
    update.sightings = {{incarnation(7), {dead, sighting_kind::answer, age}}};
    return update;
  }
  /// Until 900, two flows of `dead` lose data at 300, 500 and 660.
  void kill_upstream() {
    const auto one = session_at(dead, 0);
    const auto other = session_at(dead, 0);
    healthy = {session_at(upstream_key(1), 100)};
    run_until(300);
    request(one, 300);
    run_until(500);
    copy(one, 500);
    run_until(660);
    request(other, 660);
    run_until(860);
    copy(other, 860);
    run_until(900);
    copy(one, 900);
    run_until(920);
    BOOST_CHECK_EQUAL(observer.unresponsive, 1);
    const auto reset = resets();
    BOOST_CHECK_EQUAL(std::count(reset.begin(), reset.end(), one), 1);
  }
  std::vector<std::uint16_t> resets() {
    std::vector<std::uint16_t> ports;
    for (const auto& [flow, acknowledged] : tested.take_resets()) {
      ports.push_back(flow.caller.port);
      BOOST_CHECK_EQUAL(acknowledged, sessions[flow.caller.port].acknowledged);
    }
    std::sort(ports.begin(), ports.end());
    return ports;
  }

  std::map<std::uint16_t, session> sessions;
  std::map<std::uint16_t, std::uint32_t> last_request;
  std::vector<std::uint16_t> healthy;
  std::uint16_t last_port = 0;
  int time = 200;
};

// Guards against callers that wait until their time limit on each flow of an
// upstream that has fallen silent, and that lose the next request on each idle
// one.
BOOST_FIXTURE_TEST_CASE(flows_of_a_silent_upstream_are_reset, long_flows) {
  const auto one = session_at(dead, 0);
  const auto other = session_at(dead, 0);
  const auto third = session_at(dead, 0);
  const auto idle = session_at(dead, 0);
  const auto idle_correction = session_at(dead, 0, corrections);
  const auto correction = session_at(dead, 0, corrections);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  request(other, 310);
  request(correction, 310);
  run_until(500);
  copy(one, 500);
  run_until(510);
  copy(other, 510);
  run_until(660);
  request(third, 660);
  run_until(860);
  BOOST_CHECK(resets().empty());
  // With this copy, data sent at 300, 500 and 660 has not been acknowledged.
  copy(third, 860);
  run_until(890);
  BOOST_CHECK(resets().empty());
  copy(one, 900);
  run_until(920);
  std::vector<std::uint16_t> expected;
  for (const auto& [port, each] : sessions) {
    if (each.opened.upstream == dead && port != correction) {
      expected.push_back(port);
    }
  }
  BOOST_CHECK(resets() == expected);
  for (const auto port : {one, other, third, idle, idle_correction}) {
    BOOST_CHECK(std::count(expected.begin(), expected.end(), port) == 1);
  }
  BOOST_CHECK_EQUAL(observer.unresponsive, 1);
  // New flows avoid it.
  for (int i = 0; i < 8; ++i) {
    BOOST_CHECK(sessions[open_session(920, test_packets::default_service)]
                    .opened.upstream != dead);
  }
}

// Guards against resets because of a lost packet: the upstream answers the
// copy, or its other callers.
BOOST_FIXTURE_TEST_CASE(lost_packets_reset_nothing, long_flows) {
  const auto one = session_at(dead, 0);
  const auto other = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  run_until(500);
  copy(one, 500);
  run_until(510);
  answer(one, 510);
  request(other, 510);
  run_until(710);
  copy(other, 710);
  run_until(750);
  request(one, 750);
  answer(one, 760);
  run_until(1500);
  BOOST_CHECK(resets().empty());
  BOOST_CHECK_EQUAL(observer.unresponsive, 0);
}

// FLOW: guards against resets because a full queue has dropped the requests of
// several flows together, whose answers take long.
BOOST_FIXTURE_TEST_CASE(requests_lost_together_reset_nothing, long_flows) {
  std::vector<std::uint16_t> lost;
  lost.reserve(5);
  for (int i = 0; i < 5; ++i) {
    lost.push_back(session_at(dead, 0));
  }
  healthy = {session_at(upstream_key(1), 100)};
  for (int i = 0; i < 5; ++i) {
    run_until(300 + 10 * i);
    request(lost[i], 300 + 10 * i);
  }
  for (int i = 0; i < 5; ++i) {
    run_until(500 + 10 * i);
    copy(lost[i], 500 + 10 * i);
  }
  run_until(1400);
  for (const auto port : lost) {
    answer(port, 1400);
  }
  run_until(1500);
  BOOST_CHECK(resets().empty());
  BOOST_CHECK_EQUAL(observer.unresponsive, 0);
}

// FLOW: guards against resets because several members have lost a request each,
// while callers of one of them get answers.
BOOST_FIXTURE_TEST_CASE(answers_seen_by_members_prevent_resets, long_flows) {
  const auto one = session_at(dead, 0);
  const auto other = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  run_until(500);
  copy(one, 500);
  run_until(690);
  tested.on_update(lost_at_members({310, 470}, 690), at(690));
  tested.on_update(answered_at_member(milliseconds(20)), at(700));
  run_until(700);
  request(other, 700);
  run_until(900);
  copy(one, 900);
  copy(other, 900);
  run_until(1500);
  BOOST_CHECK(resets().empty());
  BOOST_CHECK_EQUAL(observer.unresponsive, 0);
}

// FLOW: guards against a member that takes an upstream for dead which answers
// callers here, now or later.
BOOST_FIXTURE_TEST_CASE(members_are_told_of_answers, long_flows) {
  const auto one = session_at(dead, 0);
  const auto told = [this](int ms) { return tested.take_sightings(at(ms)); };
  request(one, 300);
  answer(one, 320);
  BOOST_CHECK(told(330).empty());
  tested.on_update(lost_at_members({310}, 520), at(520));
  BOOST_CHECK(told(520) ==
              (std::vector<upstream_sighting>{
                  {dead, sighting_kind::answer, milliseconds(200)}}));
  tested.on_update(lost_at_members({330}, 540), at(540));
  BOOST_CHECK(told(540).empty());
  request(one, 600);
  answer(one, 620);
  BOOST_CHECK(told(620) == (std::vector<upstream_sighting>{
                               {dead, sighting_kind::answer, milliseconds(0),
                                milliseconds(619)}}));
  // Once is enough.
  request(one, 700);
  answer(one, 720);
  BOOST_CHECK(told(720).empty());
}

// FLOW: guards against resets of flows that passed through this forwarder only
// while another one was restarted, and that have requests in progress there.
BOOST_FIXTURE_TEST_CASE(flows_that_may_have_moved_are_not_reset, long_flows) {
  const auto moved = session_at(dead, -1600);
  kill_upstream();
  const auto is_reset = [&] {
    const auto reset = resets();
    return std::count(reset.begin(), reset.end(), moved) > 0;
  };
  run_until(1000);
  BOOST_CHECK(!is_reset());
  // It has not moved: its next request is reset at once.
  BOOST_CHECK(request(moved, 1010).action == packet_action::reset);
}

// Guards against resets during a rolling stop of forwarders: the first packet
// that arrives here is the caller's copy, as another forwarder has lost the
// original.
BOOST_FIXTURE_TEST_CASE(moved_flows_are_not_reset, long_flows) {
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  const auto tag = value_of(upstream_directory::tag_of(dead));
  for (std::uint16_t port = 900; port < 910; ++port) {
    receive({flow_of(port), ack, 8, 1, tag}, at(300), "GET / HTTP/1.1\r\n\r\n");
  }
  run_until(480);
  for (std::uint16_t port = 900; port < 910; ++port) {
    receive({flow_of(port), ack, 8, 2000, tag}, at(480));
  }
  run_until(1500);
  BOOST_CHECK(resets().empty());
}

// Guards against resets of live flows in a burst of traffic that fills the
// link of this machine: requests to all upstreams stall, the copies as well.
BOOST_FIXTURE_TEST_CASE(a_full_link_resets_nothing, long_flows) {
  healthy = {session_at(upstream_key(1), 100)};
  std::vector<std::uint16_t> waiting;
  for (std::uint64_t key = 1; key <= upstreams; ++key) {
    for (int i = 0; i < 3; ++i) {
      waiting.push_back(session_at(upstream_key(key), 110));
    }
  }
  for (int round = 0; round < 6; ++round) {
    const int began = 300 + 1000 * round;
    run_until(began);
    for (const auto port : waiting) {
      request(port, began);
    }
    run_until(began + 200);
    for (const auto port : waiting) {
      copy(port, began + 200);
    }
    run_until(began + 600);
    for (const auto port : waiting) {
      copy(port, began + 600);
    }
    run_until(began + 680);
    for (const auto port : waiting) {
      answer(port, began + 680);
    }
  }
  run_until(7000);
  BOOST_CHECK(resets().empty());
  BOOST_CHECK_EQUAL(observer.unresponsive, 0);
}

// Guards against a member on a full link that reports live upstreams as stalled
// to members whose links have room: one own stall and a report are enough
// there.
BOOST_FIXTURE_TEST_CASE(stalls_on_a_full_link_are_not_reported, long_flows) {
  healthy = {session_at(upstream_key(1), 100)};
  std::vector<std::uint16_t> waiting;
  for (std::uint64_t key = 1; key <= upstreams; ++key) {
    waiting.push_back(session_at(upstream_key(key), 110));
  }
  run_until(300);
  for (const auto port : waiting) {
    request(port, 300);
  }
  run_until(500);
  for (const auto port : waiting) {
    copy(port, 500);
  }
  run_until(700);
  for (const auto port : waiting) {
    answer(port, 700);
  }
  run_until(1500);
  for (const auto& each : tested.take_sightings(at(1500))) {
    BOOST_CHECK(each.kind != sighting_kind::lost_data);
  }
}

// Guards against a dead upstream that is not detected among the losses of a
// full link.
BOOST_FIXTURE_TEST_CASE(a_dead_upstream_is_detected_on_a_lossy_link,
                        long_flows) {
  healthy = {session_at(upstream_key(1), 100)};
  std::vector<std::uint16_t> waiting;
  for (const std::uint64_t key : {1, 2, 4}) {
    waiting.push_back(session_at(upstream_key(key), 110));
  }
  constexpr int flows = 12;
  std::vector<std::uint16_t> lost;
  lost.reserve(flows);
  for (int i = 0; i < flows; ++i) {
    lost.push_back(session_at(dead, 120));
  }
  run_until(300);
  for (const auto port : waiting) {
    request(port, 300);
  }
  run_until(500);
  for (const auto port : waiting) {
    copy(port, 500);
  }
  run_until(650);
  for (const auto port : waiting) {
    answer(port, 650);
  }
  // A third of them each begin at these times and repeat as callers do.
  for (const int ms : {650, 800, 850, 950, 1000, 1150, 1250, 1400, 1550}) {
    run_until(ms);
    for (std::size_t i = 0; i < lost.size(); ++i) {
      const int began = 650 + 150 * static_cast<int>(i % 3);
      if (ms == began) {
        request(lost[i], ms);
      } else if (ms == began + 200 || ms == began + 600) {
        copy(lost[i], ms);
      }
    }
  }
  run_until(1650);
  const auto reset = resets();
  for (const auto port : lost) {
    BOOST_CHECK(std::count(reset.begin(), reset.end(), port) == 1);
  }
}

// Guards against a second upstream for each flow while packets wait at a full
// link, which doubles the load.
BOOST_FIXTURE_TEST_CASE(openings_wait_for_a_slow_round_trip, long_flows) {
  for (int i = 0; i < 20; ++i) {
    const auto port = static_cast<std::uint16_t>(800 + i);
    const int ms = 100 + 200 * i;
    const int round_trip = i % 2 == 0 ? 20 : 58;
    const auto opened = receive({flow_of(port)}, at(ms));
    receive({flow_of(port), ack, 8, 1, value_of(opened.tag)},
            at(ms + round_trip));
    tested.due_packets(false, at(ms + 190));
  }
  const auto repeated_after = [this](std::uint16_t port, int ms, int waited) {
    tested.due_packets(false, at(ms - 500));
    tested.due_packets(false, at(ms - 1));
    receive({flow_of(port)}, at(ms));
    return tested.due_packets(false, at(ms + waited)).size();
  };
  BOOST_CHECK_EQUAL(repeated_after(900, 5000, 90), 0U);
  BOOST_CHECK_EQUAL(repeated_after(901, 7000, 190), 1U);
}

// Guards against a single long flow that waits although all its copies were
// lost.
BOOST_FIXTURE_TEST_CASE(three_copies_of_one_request_are_enough, long_flows) {
  const auto only = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(only, 300);
  run_until(500);
  copy(only, 500);
  run_until(900);
  copy(only, 900);
  run_until(1690);
  BOOST_CHECK(resets().empty());
  copy(only, 1700);
  run_until(1720);
  const auto reset = resets();
  BOOST_CHECK(std::count(reset.begin(), reset.end(), only) == 1);
}

// Guards against resets of flows at an upstream that is leaving: it serves its
// flows after its entry is gone, and one stalled flow may be lost packets (seed
// 438921113474 of quiet-1 on lakeshore-rounds-grown).
BOOST_FIXTURE_TEST_CASE(a_removed_entry_is_no_evidence, long_flows) {
  const auto one = session_at(dead, 0);
  session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  add(3, record_state::removed);
  fleet_update confirmed;
  confirmed.confirmed_at = at(300);
  tested.on_update(confirmed, at(300));
  request(one, 300);
  run_until(500);
  copy(one, 500);
  run_until(800);
  BOOST_CHECK(resets().empty());
}

// Guards against answers that a stalled process has not read, and against a
// process that was cut off and judges by what it missed.
BOOST_FIXTURE_TEST_CASE(own_stalls_reset_nothing, long_flows) {
  const auto one = session_at(dead, 0);
  const auto other = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  request(other, 300);
  run_until(500);
  copy(one, 500);
  copy(other, 500);
  tested.on_stall(milliseconds(500), at(520));
  run_until(900);
  copy(one, 900);
  fleet_update reconnected;
  reconnected.reconnected = true;
  tested.on_update(reconnected, at(905));
  run_until(1200);
  BOOST_CHECK(resets().empty());
}

// Guards against a member with few flows of an upstream that learns too late
// that it is silent.
BOOST_FIXTURE_TEST_CASE(stalls_reported_by_members_count, long_flows) {
  const auto one = session_at(dead, 0);
  const auto idle = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  run_until(500);
  copy(one, 500);
  run_until(620);
  BOOST_CHECK(resets().empty());
  // It is reported to the other members once.
  BOOST_CHECK(tested.take_sightings(at(620)) ==
              (std::vector<upstream_sighting>{
                  {dead, sighting_kind::lost_data, milliseconds(320)}}));
  tested.on_update(lost_at_members({460}, 680), at(680));
  run_until(690);
  BOOST_CHECK(resets().empty());
  tested.on_update(lost_at_members({620}, 840), at(840));
  run_until(850);
  const auto reset = resets();
  BOOST_CHECK(std::count(reset.begin(), reset.end(), one) == 1);
  BOOST_CHECK(std::count(reset.begin(), reset.end(), idle) == 1);
  BOOST_CHECK(!tested.has_sightings());
}

// Guards against flows of live upstreams that are reset because another member
// was cut off and took all upstreams for silent (seed 364120699803 of
// one_way_links on lakeshore-rounds-grown).
BOOST_FIXTURE_TEST_CASE(reports_alone_reset_nothing, long_flows) {
  session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(1000);
  tested.on_update(lost_at_members({100, 300, 500, 700, 800}, 1000), at(1000));
  run_until(1500);
  BOOST_CHECK(resets().empty());
}

// Guards against a forwarder that is cut off, resets all flows when it is back,
// and reports all upstreams to the others.
BOOST_FIXTURE_TEST_CASE(a_cut_off_forwarder_resets_nothing, long_flows) {
  const auto one = session_at(dead, 0);
  const auto other = session_at(dead, 0);
  healthy = {session_at(upstream_key(1), 100)};
  run_until(300);
  request(one, 300);
  request(other, 310);
  copy(one, 500);
  copy(other, 510);
  // The cut ends before the flows count as stalled.
  time = 550;
  run_until(800);
  BOOST_CHECK(resets().empty());
  BOOST_CHECK(!tested.has_sightings());
}

// Guards against resets because only the way from this forwarder to another
// data centre is cut: other members would see the upstream stall as well.
BOOST_FIXTURE_TEST_CASE(remote_upstreams_need_a_second_member, long_flows) {
  add_remote(21);
  const auto tag = value_of(upstream_directory::tag_of(upstream_key(21)));
  healthy = {session_at(upstream_key(1), 100)};
  fleet_update members;
  members.data_centre_peers = 3;
  members.confirmed_at = start;
  tested.on_update(members, at(150));
  run_until(300);
  const std::string data = "GET / HTTP/1.1\r\n\r\n";
  for (const int ms : {300, 500, 900, 1700}) {
    run_until(ms);
    for (std::uint16_t port = 900; port < 906; ++port) {
      receive({flow_of(port), ack, 8, 1, tag}, at(ms), data);
    }
  }
  run_until(1800);
  BOOST_CHECK(tested.take_resets().empty());
  members.sightings = lost_at_members({1500}, 1800, upstream_key(21)).sightings;
  tested.on_update(members, at(1800));
  run_until(1810);
  BOOST_CHECK_EQUAL(tested.take_resets().size(), 6U);
}

// Guards against forwarding a request to an upstream that is known to be
// silent; its caller would wait for its time limit.
BOOST_FIXTURE_TEST_CASE(requests_to_a_silent_upstream_are_reset_at_once,
                        long_flows) {
  kill_upstream();
  const auto tag = value_of(upstream_directory::tag_of(dead));
  const auto verdict = receive({flow_of(900), ack, 8, 1, tag}, at(1000),
                               "GET / HTTP/1.1\r\n\r\n");
  BOOST_CHECK(verdict.action == packet_action::reset);
  BOOST_CHECK(verdict.reason == verdict_reason::unresponsive);
  // A correction may be running already, and its caller may not repeat it.
  BOOST_CHECK(receive({flow_of(901, corrections), ack, 8, 1, tag}, at(1000),
                      "POST / HTTP/1.1\r\n\r\n")
                  .action == packet_action::forward);
  // Without further stalls it is tried again.
  BOOST_CHECK(receive({flow_of(902), ack, 8, 1, tag}, at(1920),
                      "GET / HTTP/1.1\r\n\r\n")
                  .action == packet_action::forward);
}

// Guards against long flows to other data centres, which end with a cut,
// although upstreams of this one have little to do.
BOOST_FIXTURE_TEST_CASE(idle_flows_count_little, long_flows) {
  add_remote(21);
  add_remote(22);
  int remote = 0;
  for (int i = 0; i < 60; ++i) {
    const auto port =
        open_session(100 + 100 * i, test_packets::default_service);
    remote += sessions[port].opened.upstream >= upstream_key(21) ? 1 : 0;
  }
  BOOST_CHECK_EQUAL(remote, 0);
  // While requests are in progress the flows count in full.
  for (const auto& [port, each] : sessions) {
    request(port, 6200);
  }
  const auto next = receive({flow_of(9000)}, at(6210));
  BOOST_CHECK(next.upstream >= upstream_key(21));
}

}  // namespace
}  // namespace rosemarydrum
