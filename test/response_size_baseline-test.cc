#define BOOST_TEST_MODULE response_size_baseline
#include "rosemarydrum/forwarding/response_size_baseline.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace rosemarydrum {
namespace {

constexpr std::uint32_t error_bytes = 150;

/// Response sizes in bytes, distributed like those of the users' services.
std::uint32_t random_response(std::minstd_rand& random) {
  std::lognormal_distribution<double> sizes(std::log(3500), 0.6);
  return static_cast<std::uint32_t>(sizes(random));
}

// Guards against upstreams that count as failing on a new route, whose usual
// response size is not known yet.
BOOST_AUTO_TEST_CASE(few_samples_are_not_judged) {
  response_size_baseline tested;
  BOOST_CHECK(!tested.is_short(0));
  for (int i = 0; i < 10; ++i) {
    tested.add(4000);
  }
  BOOST_CHECK(!tested.is_short(error_bytes));
}

// Guards against rejections that go undetected because they have become the
// usual response, in an overload in which half of the requests are rejected.
BOOST_AUTO_TEST_CASE(detects_rejections_in_an_overload) {
  std::minstd_rand random(7);
  response_size_baseline tested;
  for (int i = 0; i < 200; ++i) {
    tested.add(random_response(random));
  }
  int missed = 0;
  for (int i = 0; i < 10'000; ++i) {
    const bool fails = i % 2 == 0;
    const auto bytes = fails ? error_bytes : random_response(random);
    missed += fails && !tested.is_short(bytes) ? 1 : 0;
    tested.add(bytes);
  }
  BOOST_CHECK_EQUAL(missed, 0);
}

// Guards against error responses that go undetected, also while a fifth of all
// responses are errors, and against false alarms.
BOOST_AUTO_TEST_CASE(detects_error_responses) {
  std::minstd_rand random(7);
  response_size_baseline tested;
  for (int i = 0; i < 200; ++i) {
    tested.add(random_response(random));
  }
  int false_alarms = 0;
  int missed = 0;
  for (int i = 0; i < 10'000; ++i) {
    const bool fails = i % 5 == 0;
    const auto bytes = fails ? error_bytes : random_response(random);
    const bool is_short = tested.is_short(bytes);
    missed += fails && !is_short ? 1 : 0;
    false_alarms += !fails && is_short ? 1 : 0;
    tested.add(bytes);
  }
  BOOST_CHECK_EQUAL(missed, 0);
  BOOST_CHECK_LE(false_alarms, 20);
}

// Guards against a route whose responses have become shorter and count as
// failed for ever.
BOOST_AUTO_TEST_CASE(adapts_to_shorter_responses) {
  response_size_baseline tested;
  for (int i = 0; i < 100; ++i) {
    tested.add(4000);
  }
  for (int i = 0; i < 100; ++i) {
    tested.add(error_bytes);
  }
  BOOST_CHECK(!tested.is_short(error_bytes));
}

}  // namespace
}  // namespace rosemarydrum
