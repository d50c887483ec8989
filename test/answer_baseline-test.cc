#define BOOST_TEST_MODULE answer_baseline
#include "rosemarydrum/forwarding/answer_baseline.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace rosemarydrum {
namespace {

constexpr std::uint32_t error_bytes = 150;

/// Answers as callers of the users' services get them.
std::uint32_t any_answer(std::minstd_rand& random) {
  std::lognormal_distribution<double> answers(std::log(3500), 0.6);
  return static_cast<std::uint32_t>(answers(random));
}

// Guards against upstreams that count as failing because a route has become
// known only now.
BOOST_AUTO_TEST_CASE(few_answers_say_nothing) {
  answer_baseline tested;
  BOOST_CHECK(!tested.is_short(0));
  for (int i = 0; i < 10; ++i) {
    tested.add(4000);
  }
  BOOST_CHECK(!tested.is_short(error_bytes));
}

// Guards against errors that pass for answers, also while a fifth of all
// answers are errors, and against answers that pass for errors.
BOOST_AUTO_TEST_CASE(errors_are_told_from_answers) {
  std::minstd_rand random(7);
  answer_baseline tested;
  for (int i = 0; i < 200; ++i) {
    tested.add(any_answer(random));
  }
  int wrong = 0;
  int missed = 0;
  for (int i = 0; i < 10'000; ++i) {
    const bool fails = i % 5 == 0;
    const auto bytes = fails ? error_bytes : any_answer(random);
    const bool is_short = tested.is_short(bytes);
    missed += fails && !is_short ? 1 : 0;
    wrong += !fails && is_short ? 1 : 0;
    tested.add(bytes);
  }
  BOOST_CHECK_EQUAL(missed, 0);
  BOOST_CHECK_LE(wrong, 20);
}

// Guards against a route whose answers have become shorter and count as failed
// for good.
BOOST_AUTO_TEST_CASE(routes_may_change_their_answers) {
  answer_baseline tested;
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
