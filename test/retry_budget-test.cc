#define BOOST_TEST_MODULE retry_budget
#include "rosemarydrum/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(retries_are_a_tenth_of_successes_beyond_the_burst) {
  retry_budget budget;
  int taken = 0;
  while (budget.take()) {
    ++taken;
  }
  BOOST_CHECK_EQUAL(taken, 10);
  for (int i = 0; i < 55; ++i) {
    budget.on_success();
  }
  for (taken = 0; budget.take(); ++taken) {
  }
  BOOST_CHECK_EQUAL(taken, 5);
}

// Guards against a service that saves up an unbounded number of retries while
// it needs none.
BOOST_AUTO_TEST_CASE(unused_retries_are_bounded) {
  retry_budget budget(1, 2);
  for (int i = 0; i < 100; ++i) {
    budget.on_success();
  }
  BOOST_CHECK(budget.take() && budget.take());
  BOOST_CHECK(!budget.take());
}

}  // namespace
}  // namespace rosemarydrum
