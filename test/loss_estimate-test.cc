#define BOOST_TEST_MODULE loss_estimate
#include "rosemarydrum/forwarding/loss_estimate.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

/// 80 requests within one interval, of which `lost` were sent again.
loss_estimate with_losses(std::size_t lost) {
  loss_estimate loss;
  for (int i = 0; i < 80; ++i) {
    loss.on_request(at(i));
  }
  loss.on_loss(lost, at(80));
  return loss;
}

// Guards against a slow verdict on a quiet network, where three losses are
// enough although single packets are lost, and against one that two lost
// packets suffice for: one of 1,000 is lost or not acknowledged.
BOOST_AUTO_TEST_CASE(three_losses_are_enough_on_a_quiet_network) {
  BOOST_CHECK_EQUAL(loss_estimate().losses_of_dead_upstream(at(0)), 3U);
  BOOST_CHECK_EQUAL(with_losses(0).losses_of_dead_upstream(at(100)), 3U);
  BOOST_CHECK_EQUAL(with_losses(1).losses_of_dead_upstream(at(100)), 3U);
}

// Guards against live upstreams that are taken for dead on a full link. By
// chance, a live one stalls so often with a probability below 1e-9.
BOOST_AUTO_TEST_CASE(loss_requires_more) {
  BOOST_CHECK_EQUAL(with_losses(11).losses_of_dead_upstream(at(100)), 9U);
  BOOST_CHECK_EQUAL(with_losses(31).losses_of_dead_upstream(at(100)), 18U);
  BOOST_CHECK_GE(with_losses(200).losses_of_dead_upstream(at(100)), 100U);
}

// Guards against losses that come in bursts and disappear in the mean.
BOOST_AUTO_TEST_CASE(the_worst_interval_counts) {
  auto loss = with_losses(11);
  for (int ms = 500; ms < 4000; ++ms) {
    loss.on_request(at(ms));
  }
  BOOST_CHECK_EQUAL(loss.losses_of_dead_upstream(at(4000)), 9U);
}

// Guards against a slow verdict long after a burst of losses.
BOOST_AUTO_TEST_CASE(losses_are_forgotten) {
  const auto loss = with_losses(11);
  BOOST_CHECK_EQUAL(loss.losses_of_dead_upstream(at(5100)), 3U);
  BOOST_CHECK_EQUAL(loss.share(at(5100)), 0.0);
}

}  // namespace
}  // namespace rosemarydrum
