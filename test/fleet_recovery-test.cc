#define BOOST_TEST_MODULE fleet_recovery
#include <boost/test/unit_test.hpp>

#include "fleet/three_data_centres.h"

// Starts of forwarders, and recovery after an outage of the store.
namespace rosemarydrum {
namespace {

// RECOVER: guards against a fleet that cannot start while no member runs.
BOOST_FIXTURE_TEST_CASE(all_forwarders_may_start_at_once, three_data_centres) {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes) {
    names.push_back(name);
  }
  for (const auto& name : names) {
    kill(name);
  }
  run_for(seconds(2));
  for (const auto& name : names) {
    restart(name);
    nodes.at(name)->client.latency = milliseconds(240);
  }
  // The store refuses the calls of a third of the members.
  nodes.at("north-1")->client.fault = store_fault::refuses;
  nodes.at("centre-2")->client.fault = store_fault::refuses;
  run_for(seconds(2));
  load(30, seconds(4));
  run_for(seconds(6));
  BOOST_CHECK_EQUAL(failed(), 0U);
  BOOST_CHECK_EQUAL(served_slower_than(milliseconds(300)), 0U);
}

// RECOVER: guards against forwarders that stay out of rotation until the store
// is back, although other members hold all items.
BOOST_FIXTURE_TEST_CASE(forwarders_may_start_without_the_store,
                        three_data_centres) {
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  for (const auto* name : {"north-2", "south-1"}) {
    kill(name);
    restart(name);
    nodes.at(name)->client.fault = store_fault::silent;
  }
  run_for(seconds(2));
  for (const auto* name : {"north-2", "south-1"}) {
    BOOST_CHECK(nodes.at(name)->is_ready());
  }
  load(30, seconds(4));
  run_for(seconds(6));
  BOOST_CHECK_EQUAL(failed(), 0U);
}

// Guards against a forwarder that refuses callers because the entries of all
// upstreams expired during an outage of the store.
BOOST_FIXTURE_TEST_CASE(expired_entries_do_not_stop_service,
                        three_data_centres) {
  load(30, seconds(14));
  run_for(seconds(1));
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  run_for(seconds(5));
  for (const auto& [hex_id, upstream] : upstreams) {
    store.remove(platform_texts::upstream_key_of(upstream->id));
  }
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::none;
  }
  run_for(milliseconds(1900));
  for (const auto& [hex_id, upstream] : upstreams) {
    write_entry(hex_id);
  }
  run_for(seconds(9));
  BOOST_CHECK_EQUAL(failed(), 0U);
  BOOST_CHECK_EQUAL(served_slower_than(milliseconds(300)), 0U);
}

// Guards against a data centre that treats upstreams with expired entries as
// gone because it was cut off before their entries were written again.
BOOST_FIXTURE_TEST_CASE(expired_entries_count_in_a_data_centre_that_is_cut_off,
                        three_data_centres) {
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  run_for(seconds(4));
  for (const auto& [hex_id, upstream] : upstreams) {
    store.remove(platform_texts::upstream_key_of(upstream->id));
  }
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::none;
  }
  run_for(milliseconds(1200));
  cut("north");
  for (const auto& [hex_id, upstream] : upstreams) {
    write_entry(hex_id);
  }
  run_for(seconds(3));
  load(30, seconds(3));
  run_for(seconds(5));
  BOOST_CHECK_EQUAL(failed(), 0U);
}

// Guards against endless use of an upstream that is gone, because its entry
// expired during an outage of the store.
BOOST_FIXTURE_TEST_CASE(upstreams_without_entries_are_gone,
                        three_data_centres) {
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::silent;
  }
  run_for(seconds(4));
  store.remove("servers/i-a0");
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::none;
  }
  run_for(seconds(5));
  const auto from = clock.now();
  load(60, seconds(4));
  run_for(seconds(6));
  BOOST_CHECK_EQUAL(upstreams.at("a0")->openings_since(from), 0U);
}

}  // namespace
}  // namespace rosemarydrum
