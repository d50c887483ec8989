#define BOOST_TEST_MODULE fleet_share
#include "rosemarydrum/forwarding/fleet_share.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

std::vector<std::string> names(int first, int count) {
  std::vector<std::string> all;
  for (int i = first; i < first + count; ++i) {
    all.push_back("node-" + std::to_string(i));
  }
  return all;
}

// Guards against no sponsor, or more than the budget is made for.
BOOST_AUTO_TEST_CASE(each_upstream_has_its_sponsors) {
  const auto all = names(0, 84);
  for (std::uint64_t key = 1; key <= 50; ++key) {
    std::size_t sponsors = 0;
    for (const auto& name : all) {
      fleet_share share(name);
      share.set_members(all);
      sponsors += share.is_sponsor(upstream_key(key)) ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(sponsors, cold_sponsors);
  }
}

// Guards against more flows than a cold upstream bears while members know of
// different halves of the fleet.
BOOST_AUTO_TEST_CASE(two_views_of_the_fleet_stay_within_the_budget) {
  const double bears = 5;
  const auto period = fleet_share::sponsor_period(bears);
  // Within any second, also one that begins with a flow.
  const auto in_a_second = 1 + (seconds(1) - microseconds(1)) / period;
  BOOST_CHECK_LE(static_cast<double>(2 * cold_sponsors * in_a_second), bears);
}

// Guards against all members of a large fleet trying a silent upstream in the
// same second.
BOOST_AUTO_TEST_CASE(members_share_what_a_silent_upstream_may_get) {
  fleet_share share("node-0");
  share.set_members(names(0, 84));
  const auto period = share.member_period(5);
  BOOST_CHECK_LE(84 * 1e6 / static_cast<double>(period.count()), 5);
  // A process that knows no other serves alone.
  fleet_share alone("node-0");
  BOOST_CHECK(alone.is_sponsor(upstream_key(1)));
  BOOST_CHECK(alone.member_period(5) <= seconds(1));
}

}  // namespace
}  // namespace rosemarydrum
