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

// Guards against failures that are told more than once, or not at all.
BOOST_AUTO_TEST_CASE(failures_are_told_once) {
  failure_exchange tested(self);
  BOOST_CHECK(!tested.take(false, start));
  tested.add({failures_of(7, 1)});
  tested.add({failures_of(7, 2), failures_of(8, 1)});
  const auto report = tested.take(false, start);
  BOOST_REQUIRE(report);
  BOOST_CHECK(report->entries ==
              (std::vector<reported_failures>{{self, failures_of(7, 3)},
                                              {self, failures_of(8, 1)}}));
  BOOST_CHECK(!tested.take(false, start + seconds(1)));
}

// Guards against a datagram for each failure.
BOOST_AUTO_TEST_CASE(reports_keep_their_distance) {
  failure_exchange tested(self);
  tested.add({failures_of(7, 1)});
  BOOST_CHECK(tested.take(true, start));
  tested.add({failures_of(7, 1)});
  BOOST_CHECK(!tested.take(true, start + milliseconds(250)));
  BOOST_CHECK(tested.take(true, start + milliseconds(300)));
}

// Guards against failures that count twice where they were seen, and against
// reports that go round between two readers.
BOOST_AUTO_TEST_CASE(only_news_at_first_hand_is_passed_on) {
  failure_exchange tested(self);
  const failure_report told{{{other, failures_of(7, 1)},
                             {third, failures_of(8, 1)},
                             {self, failures_of(9, 1)}}};
  const auto fresh = tested.on_report(other, told, true);
  BOOST_CHECK(fresh == (std::vector{failures_of(7, 1), failures_of(8, 1)}));
  const auto report = tested.take(true, start);
  BOOST_REQUIRE(report);
  BOOST_CHECK(report->entries ==
              (std::vector<reported_failures>{{other, failures_of(7, 1)}}));
  tested.on_report(other, told, false);
  BOOST_CHECK(!tested.take(true, start + seconds(1)));
}

// Guards against reports that do not fit into a datagram.
BOOST_AUTO_TEST_CASE(reports_are_bounded) {
  failure_exchange tested(self);
  for (std::uint64_t key = 1; key <= 2000; ++key) {
    tested.add({failures_of(key, 1)});
  }
  std::size_t told = 0;
  for (auto now = start; const auto report = tested.take(true, now);
       now += seconds(1)) {
    BOOST_CHECK_LE(report->entries.size(), max_reported_failures);
    told += report->entries.size();
  }
  BOOST_CHECK_GE(told, 500U);
  BOOST_CHECK_LE(told, 1000U);
}

}  // namespace
}  // namespace rosemarydrum
