#define BOOST_TEST_MODULE forwarder_answers
#include <boost/test/unit_test.hpp>
#include <functional>

#include "forwarder_fixture.h"

namespace rosemarydrum {
namespace {

using test_packets::ack;
using test_packets::fin;
using test_packets::flow_of;

/// A forwarder that has seen enough answers to know what is usual.
struct answered_fixture : forwarder_fixture {
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

}  // namespace
}  // namespace rosemarydrum
