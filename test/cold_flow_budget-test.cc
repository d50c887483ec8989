#define BOOST_TEST_MODULE cold_flow_budget
#include "rosemarydrum/forwarding/cold_flow_budget.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

std::vector<std::string> member_names(int first, int count) {
  std::vector<std::string> all;
  for (int i = first; i < first + count; ++i) {
    all.push_back("node-" + std::to_string(i));
  }
  return all;
}

// Guards against upstreams without an assigned member, which get no flows, and
// against more assigned members than the budget allows for.
BOOST_AUTO_TEST_CASE(each_upstream_has_assigned_members) {
  const auto all = member_names(0, 84);
  for (std::uint64_t key = 1; key <= 50; ++key) {
    std::size_t assigned = 0;
    for (const auto& name : all) {
      cold_flow_budget budget(name);
      budget.set_members(all);
      assigned += budget.is_assigned(upstream_key(key)) ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(assigned, members_per_cold_upstream);
  }
}

// Guards against overload of a cold upstream while two groups of members have
// different member lists, and each group assigns its own members.
BOOST_AUTO_TEST_CASE(differing_member_lists_stay_within_the_budget) {
  const double flows_per_second = 5;
  const auto interval = cold_flow_budget::assigned_interval(flows_per_second);
  // The worst case is a second that begins with a flow.
  const auto in_a_second = 1 + (seconds(1) - microseconds(1)) / interval;
  BOOST_CHECK_LE(
      static_cast<double>(2 * members_per_cold_upstream * in_a_second),
      flows_per_second);
}

// Guards against a silent upstream that all members of a large fleet probe
// within the same second.
BOOST_AUTO_TEST_CASE(members_share_probes_of_a_silent_upstream) {
  cold_flow_budget budget("node-0");
  budget.set_members(member_names(0, 84));
  const auto interval = budget.shared_interval(5);
  BOOST_CHECK_LE(84 * 1e6 / static_cast<double>(interval.count()), 5);
  // A process without other members is assigned to every upstream.
  cold_flow_budget alone("node-0");
  BOOST_CHECK(alone.is_assigned(upstream_key(1)));
  BOOST_CHECK(alone.shared_interval(5) <= seconds(1));
}

}  // namespace
}  // namespace rosemarydrum
