#define BOOST_TEST_MODULE measured_store
#include "forwarder/measured_store.h"

#include <boost/test/unit_test.hpp>

#include "fleet/fake_kv_store.h"
#include "forwarder/metrics_text.h"

namespace rosemarydrum {
namespace {

bool has_line(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

// Guards against calls that are missing from the counters by kind and outcome.
BOOST_AUTO_TEST_CASE(calls_are_counted_by_kind_and_outcome) {
  scheduler clock;
  fake_kv_store store(clock);
  fake_kv_client client(store, clock);
  measured_store tested(client);
  store.put("a", "1");
  int answered = 0;
  const auto done = [&](const auto&) { ++answered; };
  tested.get("a", read_freshness::linearizable, done);
  tested.get("none", read_freshness::stale, done);
  tested.list("", "", read_freshness::linearizable, done);
  tested.list("", "", read_freshness::stale, done);
  tested.watch("", revision{}, milliseconds(100), done);
  tested.write({}, done);
  tested.grant_lease(seconds(1), done);
  tested.keep_lease(lease_id(9), done);
  tested.end_lease(lease_id(9), done);
  clock.run_for(seconds(1));
  client.fault = store_fault::refuses;
  tested.watch("", revision{}, milliseconds(100), done);
  clock.run_for(seconds(2));
  BOOST_CHECK_EQUAL(answered, 10);
  const auto text = metrics_text({}, {}, tested);
  BOOST_CHECK(has_line(
      text, R"(rosemarydrum_store_calls_get_total{outcome="none"} 1)"));
  BOOST_CHECK(has_line(
      text,
      R"(rosemarydrum_store_calls_stale_get_total{outcome="not_found"} 1)"));
  BOOST_CHECK(has_line(
      text, R"(rosemarydrum_store_calls_watch_total{outcome="none"} 1)"));
  BOOST_CHECK(has_line(
      text,
      R"(rosemarydrum_store_calls_watch_total{outcome="store_unavailable"} 1)"));
  BOOST_CHECK(has_line(text, "rosemarydrum_store_call_seconds_count 8"));
  BOOST_CHECK(has_line(text, "rosemarydrum_store_era 1"));
}

// Guards against a metrics page that a scraper cannot parse.
BOOST_AUTO_TEST_CASE(the_page_has_types_and_values) {
  scheduler clock;
  fake_kv_store store(clock);
  fake_kv_client client(store, clock);
  const measured_store calls(client);
  control_metrics control;
  control.ready = true;
  control.configuration = 7;
  data_metrics data;
  data.packets_received = 12;
  data.discarded[static_cast<std::size_t>(verdict_reason::no_route)] = 3;
  data.handshake.add(milliseconds(8));
  const auto text = metrics_text(control, data, calls);
  BOOST_CHECK(has_line(text, "# TYPE rosemarydrum_ready gauge"));
  BOOST_CHECK(has_line(text, "rosemarydrum_ready 1"));
  BOOST_CHECK(has_line(text, "rosemarydrum_configuration_version 7"));
  BOOST_CHECK(has_line(text, "rosemarydrum_packets_received_total 12"));
  BOOST_CHECK(has_line(
      text, R"(rosemarydrum_packets_discarded_total{reason="no_route"} 3)"));
  BOOST_CHECK(
      has_line(text, "# TYPE rosemarydrum_handshake_seconds histogram"));
  BOOST_CHECK(has_line(text, "rosemarydrum_handshake_seconds_count 1"));
  BOOST_CHECK(
      has_line(text, R"(rosemarydrum_handshake_seconds_bucket{le="+Inf"} 1)"));
}

}  // namespace
}  // namespace rosemarydrum
