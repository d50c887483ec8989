#define BOOST_TEST_MODULE long_flows
// Callers that keep flows open for many requests, in a fleet whose upstreams
// and links fail.
#include <boost/test/unit_test.hpp>

#include "fleet/test_packets.h"
#include "fleet/three_data_centres.h"

namespace rosemarydrum {
namespace {

constexpr endpoint corrections{0xc6120001, 8080};
constexpr milliseconds interval{300};

/// Ten callers with idempotent requests and four with requests that must run at
/// most once in each data centre.
struct fleet_of_sessions : three_data_centres {
  fleet_of_sessions() {
    configure(2, {{},
                  {.name = "r-corrections",
                   .prefix = "/8080/",
                   .type = "non_idempotent"}});
    run_for(seconds(1));
    for (const std::string centre : {"north", "centre", "south"}) {
      for (int i = 0; i < 14; ++i) {
        const bool repeats = i < 10;
        // Callers do not send at the same time.
        clock.after(milliseconds(21 * i), [this, centre, repeats] {
          sessions.start(centre,
                         repeats ? test_packets::default_service : corrections,
                         repeats, interval, seconds(30));
        });
      }
    }
    run_for(seconds(5));
  }

  fake_sessions::request_counts run_and_count(duration time) {
    const auto begin = clock.now();
    run_for(time + seconds(2));
    return sessions.counts(begin, begin + time);
  }
};

// Guards against requests that are lost or reset without any fault.
BOOST_FIXTURE_TEST_CASE(nothing_is_lost_without_faults, fleet_of_sessions) {
  const auto counted = run_and_count(seconds(5));
  BOOST_CHECK_GT(counted.sent, 600U);
  BOOST_CHECK_EQUAL(counted.served, counted.sent);
  BOOST_CHECK_EQUAL(counted.resets, 0U);
}

// Guards against a data centre that loses the requests of all flows to other
// data centres when it is cut off: its callers' flows stay at its upstreams.
BOOST_FIXTURE_TEST_CASE(a_cut_loses_few_requests, fleet_of_sessions) {
  cut("north");
  const auto counted = run_and_count(seconds(5));
  BOOST_CHECK_EQUAL(counted.served, counted.sent);
}

// Guards against callers that lose a request on each flow of an upstream that
// has ended without notice. Idempotent ones of the first 0.5 s are tried again;
// corrections in progress are lost.
BOOST_FIXTURE_TEST_CASE(a_dead_upstream_loses_few_requests, fleet_of_sessions) {
  upstreams.at("a1")->alive = false;
  const auto counted = run_and_count(seconds(5));
  // About a third of the flows of its data centre and few others were there.
  BOOST_CHECK_LE(counted.sent - counted.served, 4U);
  BOOST_CHECK_GE(counted.resets, 1U);
}

// Guards against resets of flows whose upstreams live while forwarders are
// stopped one after the other.
BOOST_FIXTURE_TEST_CASE(rolling_stops_reset_nothing, fleet_of_sessions) {
  const auto begin = clock.now();
  for (const std::string name : {"north-1", "north-2", "south-2"}) {
    nodes.at(name)->leave();
    run_for(seconds(2));
    kill(name);
    run_for(milliseconds(400));
    restart(name);
    run_for(seconds(2));
  }
  BOOST_CHECK_EQUAL(sessions.counts(begin, clock.now()).resets, 0U);
}

// Guards against resets because a forwarder was killed or stood still.
BOOST_FIXTURE_TEST_CASE(failures_of_forwarders_reset_nothing,
                        fleet_of_sessions) {
  const auto begin = clock.now();
  kill("north-1");
  freeze("south-1", milliseconds(1500));
  run_for(seconds(4));
  restart("north-1");
  run_for(seconds(4));
  BOOST_CHECK_EQUAL(sessions.counts(begin, clock.now()).resets, 0U);
}

}  // namespace
}  // namespace rosemarydrum
