#define BOOST_TEST_MODULE configuration
#include "rosemarydrum/configuration/configuration.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

service make_service(std::uint32_t id, std::uint32_t address) {
  service made;
  made.id = service_id(id);
  made.address = {address, 80};
  made.upstreams.push_back({upstream_id(id * 10), data_centre_id(1), {}, 4});
  return made;
}

// Guards against a prefix match that shifts by 32 bits or ignores host bits.
BOOST_AUTO_TEST_CASE(prefix_contains_its_addresses_only) {
  BOOST_CHECK((ip_prefix{0, 0}.contains(0xffffffffU)));
  BOOST_CHECK((ip_prefix{0x0a010000, 16}.contains(0x0a01ffffU)));
  BOOST_CHECK(!(ip_prefix{0x0a010000, 16}.contains(0x0a020000U)));
  BOOST_CHECK(!(ip_prefix{0x0a010001, 32}.contains(0x0a010000U)));
}

// Guards against stale addresses in the index after a service has changed.
BOOST_AUTO_TEST_CASE(index_follows_changes_and_direct_inserts) {
  configuration current;
  current.put(make_service(1, 100));
  current.put(make_service(1, 101));
  BOOST_CHECK(current.find_service(endpoint{100, 80}) == nullptr);
  BOOST_REQUIRE(current.find_service(endpoint{101, 80}) != nullptr);
  current.services[service_id(2)] = make_service(2, 102);
  BOOST_REQUIRE(current.find_service(endpoint{102, 80}) != nullptr);
  current.remove(service_id(1));
  BOOST_CHECK(current.find_service(endpoint{101, 80}) == nullptr);
  BOOST_CHECK(current.find_service(service_id(1)) == nullptr);
}

// Guards against balancers that choose differently between two services with
// the same address, because their documents arrived in a different order.
BOOST_AUTO_TEST_CASE(one_address_resolves_to_the_lower_id_in_any_order) {
  for (const bool ascending : {true, false}) {
    configuration current;
    current.put(make_service(ascending ? 1 : 2, 100));
    current.put(make_service(ascending ? 2 : 1, 100));
    BOOST_CHECK(current.find_service(endpoint{100, 80})->id == service_id(1));
    current.remove(service_id(1));
    BOOST_CHECK(current.find_service(endpoint{100, 80})->id == service_id(2));
  }
}

// Guards against finding an upstream of another service.
BOOST_AUTO_TEST_CASE(upstream_belongs_to_its_service) {
  configuration current;
  current.put(make_service(1, 100));
  current.put(make_service(2, 101));
  BOOST_CHECK(current.find_upstream(service_id(1), upstream_id(10)) != nullptr);
  BOOST_CHECK(current.find_upstream(service_id(2), upstream_id(10)) == nullptr);
  BOOST_CHECK(current.find_upstream(service_id(3), upstream_id(10)) == nullptr);
}

// Guards against packets to a data centre whose document was deleted.
BOOST_AUTO_TEST_CASE(unknown_data_centre_is_out) {
  configuration current;
  BOOST_CHECK(current.is_out(data_centre_id(1)));
  current.put(data_centre{data_centre_id(1), "east", service_state::in, {}});
  BOOST_CHECK(!current.is_out(data_centre_id(1)));
  current.put(data_centre{data_centre_id(1), "east", service_state::out, {}});
  BOOST_CHECK(current.is_out(data_centre_id(1)));
}

}  // namespace
}  // namespace rosemarydrum
