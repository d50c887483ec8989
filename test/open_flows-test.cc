#define BOOST_TEST_MODULE open_flows
#include "rosemarydrum/forwarding/open_flows.h"

#include <boost/test/unit_test.hpp>

#include "fleet/test_packets.h"

namespace rosemarydrum {
namespace {

using test_packets::flow_of;

constexpr time_point start{seconds(100)};

// Guards against flows that count as load for ever because their last packets
// passed through another process, and against the expiry of flows in use.
BOOST_AUTO_TEST_CASE(idle_flows_expire) {
  open_flows flows;
  flows.insert(flow_of(1), start);
  flows.insert(flow_of(2), start);
  flows.find(flow_of(2))->last_packet = start + seconds(2);
  std::vector<std::uint16_t> expired;
  const auto expire = [&](time_point now) {
    flows.expire(now, [&](const open_flow& flow) {
      expired.push_back(flow.ends.caller.port);
    });
  };
  expire(start + idle_flow_lifetime - milliseconds(1));
  BOOST_CHECK(expired.empty());
  expire(start + idle_flow_lifetime);
  BOOST_CHECK_EQUAL(expired.size(), 1U);
  expire(start + 2 * idle_flow_lifetime);
  BOOST_REQUIRE_EQUAL(expired.size(), 2U);
  BOOST_CHECK_EQUAL(expired.back(), 2);
  BOOST_CHECK_EQUAL(flows.size(), 0U);
}

// Guards against a new flow that expires at the deadline of an earlier flow
// with the same endpoints.
BOOST_AUTO_TEST_CASE(endpoints_may_be_reused) {
  open_flows flows;
  flows.insert(flow_of(1), start);
  flows.erase(flow_of(1));
  flows.insert(flow_of(1), start + seconds(2));
  int expired = 0;
  flows.expire(start + idle_flow_lifetime,
               [&](const open_flow&) { ++expired; });
  BOOST_CHECK_EQUAL(expired, 0);
  BOOST_CHECK_EQUAL(flows.size(), 1U);
}

// Guards against unbounded memory under a flood of opening packets.
BOOST_AUTO_TEST_CASE(the_number_of_flows_is_bounded) {
  open_flows flows;
  for (std::uint32_t i = 0; i < max_open_flows; ++i) {
    flows.insert({{i, 1}, test_packets::default_service}, start);
  }
  BOOST_CHECK(flows.insert(flow_of(9), start) == nullptr);
}

}  // namespace
}  // namespace rosemarydrum
