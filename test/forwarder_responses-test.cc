#define BOOST_TEST_MODULE forwarder_responses
#include <boost/test/unit_test.hpp>
#include <functional>

#include "forwarder_fixture.h"

namespace rosemarydrum {
namespace {

using test_packets::ack;
using test_packets::fin;
using test_packets::flow_of;

/// A forwarder with six upstreams and enough responses for the size baseline.
struct response_fixture : forwarder_fixture {
  response_fixture() {
    for (std::uint64_t key = 1; key <= 6; ++key) {
      add(key);
    }
    for (int i = 0; i < 40; ++i) {
      serve([](upstream_key) { return 4000; });
    }
  }

  /// Runs one request and returns its upstream. `bytes_of` gives the response
  /// size of that upstream, 0 for no response.
  upstream_key serve(const std::function<int(upstream_key)>& bytes_of) {
    ++port;
    time += 20;
    const auto opened = open(port, at(time));
    send_next(port, opened, at(time + 2), ack, "GET / HTTP/1.1\r\n\r\n");
    if (const int bytes = bytes_of(opened.upstream); bytes > 0) {
      receive({flow_of(port), fin | ack, 8,
               static_cast<std::uint32_t>(1 + bytes), value_of(opened.tag)},
              at(time + 10));
    }
    return opened.upstream;
  }

  std::uint16_t port = 0;
  int time = 0;
};

// Guards against an upstream that attracts flows because it fails them quickly
// and so seems to have little load.
BOOST_FIXTURE_TEST_CASE(upstreams_that_answer_with_errors_are_ejected,
                        response_fixture) {
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
  BOOST_CHECK(observer.ejected == std::vector{failing});
  const auto reported = tested.take_failures();
  BOOST_CHECK(reported ==
              (std::vector<upstream_failures>{
                  {failing, static_cast<std::uint32_t>(at_failing)}}));
  BOOST_CHECK(!tested.has_failures());
  tested.tick(at(time + 6000));
  BOOST_CHECK_EQUAL(observer.restored, 1);
}

// Guards against an upstream that accepts requests and never responds, and
// against detecting it only when the requests reach their time limits.
BOOST_FIXTURE_TEST_CASE(upstreams_that_never_answer_are_ejected,
                        response_fixture) {
  const upstream_key failing{3};
  std::vector<packet_verdict> opened;
  for (std::uint16_t i = 0; i < 24; ++i) {
    opened.push_back(open(1000 + i, at(time)));
    send_next(1000 + i, opened[i], at(time + 2), ack, "GET / HTTP/1.1\r\n\r\n");
  }
  for (std::uint16_t i = 0; i < 24; ++i) {
    if (opened[i].upstream != failing) {
      receive({flow_of(1000 + i), fin | ack, 8, 4001, value_of(opened[i].tag)},
              at(time + 50));
    }
  }
  tested.tick(at(time + 1000));
  BOOST_CHECK_EQUAL(observer.failed, 0);
  tested.tick(at(time + 1010));
  BOOST_CHECK_EQUAL(observer.failed, 4);
  BOOST_CHECK(observer.ejected == std::vector{failing});
}

// Guards against a forwarder that counts only the failures of its own callers.
BOOST_FIXTURE_TEST_CASE(failures_reported_by_members_count, response_fixture) {
  fleet_update update;
  update.failures = {{incarnation(7), {upstream_key(2), 2}},
                     {incarnation(7), {upstream_key(99), 5}}};
  tested.on_update(update, at(time));
  BOOST_CHECK(observer.ejected.empty());
  tested.on_update(update, at(time));
  BOOST_CHECK(observer.ejected == std::vector{upstream_key(2)});
  // Failures reported by other members are not reported again.
  BOOST_CHECK(!tested.has_failures());
}

// Guards against slow starts that operators cannot see, or that do not end
// although the upstream answers.
BOOST_FIXTURE_TEST_CASE(slow_starts_are_reported, response_fixture) {
  time = 2000;
  add_in("north", 9, record_state::present, at(time));
  tested.tick(at(time));
  BOOST_CHECK_EQUAL(observer.slow_starts, 1);
  BOOST_CHECK_EQUAL(tested.slow_starts(), 1U);
  for (int i = 0; i < 150; ++i) {
    serve([](upstream_key) { return 4000; });
    tested.tick(at(time + 15));
  }
  BOOST_CHECK_EQUAL(observer.slow_starts, 1);
  BOOST_CHECK_EQUAL(observer.full_paces, 1);
  BOOST_CHECK_EQUAL(tested.slow_starts(), 0U);
}

}  // namespace
}  // namespace rosemarydrum
