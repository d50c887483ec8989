#define BOOST_TEST_MODULE failure_exchange
#include "rosemarydrum/spread/failure_exchange.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};
constexpr incarnation self{1};
constexpr incarnation other{2};
constexpr incarnation third{3};

upstream_failures failures_of(std::uint64_t upstream, std::uint32_t count) {
  return {upstream_key(upstream), count};
}

// Guards against failures that are reported more than once, or not at all.
BOOST_AUTO_TEST_CASE(failures_are_reported_once) {
  failure_exchange exchange(self);
  BOOST_CHECK(!exchange.take(false, start));
  exchange.add({failures_of(7, 1)});
  exchange.add({failures_of(7, 2), failures_of(8, 1)});
  const auto report = exchange.take(false, start);
  BOOST_REQUIRE(report);
  BOOST_CHECK(report->entries ==
              (std::vector<reported_failures>{{self, failures_of(7, 3)},
                                              {self, failures_of(8, 1)}}));
  BOOST_CHECK(!exchange.take(false, start + seconds(1)));
}

// Guards against sending a datagram for each failure.
BOOST_AUTO_TEST_CASE(reports_are_rate_limited) {
  failure_exchange exchange(self);
  exchange.add({failures_of(7, 1)});
  BOOST_CHECK(exchange.take(true, start));
  exchange.add({failures_of(7, 1)});
  BOOST_CHECK(!exchange.take(true, start + milliseconds(250)));
  BOOST_CHECK(exchange.take(true, start + milliseconds(300)));
}

// Guards against counting a process's own failures twice, and against reports
// that circulate between two readers.
BOOST_AUTO_TEST_CASE(only_failures_of_the_sender_are_relayed) {
  failure_exchange exchange(self);
  const failure_report received{{{other, failures_of(7, 1)},
                                 {third, failures_of(8, 1)},
                                 {self, failures_of(9, 1)}}};
  const auto remote_failures = exchange.on_report(other, received, true);
  BOOST_CHECK(remote_failures ==
              (std::vector<reported_failures>{{other, failures_of(7, 1)},
                                              {third, failures_of(8, 1)}}));
  const auto report = exchange.take(true, start);
  BOOST_REQUIRE(report);
  BOOST_CHECK(report->entries ==
              (std::vector<reported_failures>{{other, failures_of(7, 1)}}));
  exchange.on_report(other, received, false);
  BOOST_CHECK(!exchange.take(true, start + seconds(1)));
}

// Guards against reports that exceed a datagram, and against an unbounded
// queue.
BOOST_AUTO_TEST_CASE(reports_are_bounded) {
  failure_exchange exchange(self);
  for (std::uint64_t key = 1; key <= 2000; ++key) {
    exchange.add({failures_of(key, 1)});
  }
  std::size_t reported = 0;
  for (auto now = start; const auto report = exchange.take(true, now);
       now += seconds(1)) {
    BOOST_CHECK_LE(report->entries.size(), max_reported_failures);
    reported += report->entries.size();
  }
  BOOST_CHECK_GE(reported, 500U);
  BOOST_CHECK_LE(reported, 1000U);
}

}  // namespace
}  // namespace rosemarydrum
