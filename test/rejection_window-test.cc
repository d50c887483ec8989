#define BOOST_TEST_MODULE rejection_window
#include "rosemarydrum/overload/rejection_window.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

/// 20 upstreams with ten answers each, of which `rejecting` reject half.
rejection_window with_rejections(std::uint32_t rejecting) {
  rejection_window window;
  for (std::uint32_t i = 0; i < 200; ++i) {
    const auto upstream = i % 20;
    window.add(upstream_index(upstream), upstream < rejecting && i % 40 < 20,
               at(static_cast<int>(i)));
  }
  return window;
}

// Guards against a few faulty upstreams that count as an overload.
BOOST_AUTO_TEST_CASE(upstreams_and_requests_are_counted) {
  const auto faulty = with_rejections(3);
  BOOST_CHECK_CLOSE(faulty.rejecting_upstreams(at(200)), 0.15, 1);
  const auto overloaded = with_rejections(20);
  BOOST_CHECK_CLOSE(overloaded.rejecting_upstreams(at(200)), 1.0, 1);
  BOOST_CHECK_CLOSE(overloaded.rejected_requests(at(200)), 0.5, 5);
}

// Guards against conclusions from the answers of very few upstreams.
BOOST_AUTO_TEST_CASE(few_upstreams_say_nothing) {
  rejection_window window;
  for (std::uint32_t i = 0; i < 3; ++i) {
    window.add(upstream_index(i), true, at(0));
  }
  BOOST_CHECK_EQUAL(window.rejecting_upstreams(at(0)), 0.0);
}

// Guards against rejections that count long after an overload.
BOOST_AUTO_TEST_CASE(rejections_are_forgotten) {
  const auto window = with_rejections(20);
  BOOST_CHECK_EQUAL(window.answering(at(2000)), 0U);
  BOOST_CHECK_EQUAL(window.rejecting_upstreams(at(2000)), 0.0);
}

}  // namespace
}  // namespace rosemarydrum
