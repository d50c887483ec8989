#define BOOST_TEST_MODULE route_table
#include "rosemarydrum/forwarding/route_table.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace rosemarydrum {
namespace {

route route_to(std::vector<route_target> targets) {
  route made;
  made.name = "r";
  made.address = {1, 443};
  made.targets = std::move(targets);
  return made;
}

// Guards against a lookup that ignores the port or the address.
BOOST_AUTO_TEST_CASE(routes_are_found_by_address_and_port) {
  const route_table none;
  BOOST_CHECK(!none.is_known());
  BOOST_CHECK(none.find({1, 443}) == nullptr);
  auto source = std::make_shared<fleet_configuration>();
  source->version = 7;
  source->routes.push_back(route_to({{"desk", 1}}));
  source->services.push_back({"desk", milliseconds(2000), 0});
  const route_table table(source);
  BOOST_REQUIRE(table.find({1, 443}) != nullptr);
  BOOST_CHECK(table.find({1, 444}) == nullptr);
  BOOST_CHECK(table.find({2, 443}) == nullptr);
  BOOST_CHECK_EQUAL(table.version(), 7U);
  BOOST_CHECK(table.service("desk").warmup == milliseconds(2000));
  BOOST_CHECK(table.service("other").name.empty());
  BOOST_CHECK(table.longest_warmup() == milliseconds(2000));
}

// Guards against shares that differ from the configured weights, and against
// flows to a target of weight 0.
BOOST_AUTO_TEST_CASE(targets_get_their_weights) {
  const auto shared = route_to({{"a", 90}, {"b", 10}, {"c", 0}});
  std::map<std::string, int> counts;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    ++counts[route_table::target_for(shared, draw)->service];
  }
  BOOST_CHECK_EQUAL(counts["a"], 900);
  BOOST_CHECK_EQUAL(counts["b"], 100);
  BOOST_CHECK(!counts.contains("c"));
  BOOST_CHECK(route_table::target_for(route_to({{"a", 0}}), 1) == nullptr);
  BOOST_CHECK(route_table::target_for(route_to({}), 1) == nullptr);
}

}  // namespace
}  // namespace rosemarydrum
