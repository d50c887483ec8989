#define BOOST_TEST_MODULE restart_suspicion
#include "rosemarydrum/forwarding/restart_suspicion.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr milliseconds warmup{2000};

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

// FAILBACK: guards against full load on an upstream that was down for a moment
// while the store was away.
BOOST_AUTO_TEST_CASE(one_unanswered_handshake_is_enough) {
  restart_suspicion suspicion;
  BOOST_CHECK(!suspicion.holds(at(0), at(0), at(0)));
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_alive(at(400));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(260)));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(3000)));
}

// Guards against an upstream that is spared because of a lost packet although
// the store lists no restart.
BOOST_AUTO_TEST_CASE(later_entries_end_it) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_alive(at(200));
  suspicion.on_alive(at(500));
  BOOST_CHECK(suspicion.holds(at(690), at(0), at(800)));
  BOOST_CHECK(!suspicion.holds(at(700), at(0), at(800)));
}

// FAILBACK: guards against full load on an upstream that other members have
// found down, and that is back before its entry is.
BOOST_AUTO_TEST_CASE(an_upstream_that_was_down_needs_a_later_entry) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_unanswered(at(300), warmup, at(360));
  // Until it answers, entries say nothing of its next start. An answer may have
  // been under way.
  suspicion.on_alive(at(310));
  BOOST_CHECK(suspicion.holds(at(2500), at(0), at(2600)));
  suspicion.on_alive(at(1000));
  BOOST_CHECK(suspicion.holds(at(2990), at(0), at(3000)));
  BOOST_CHECK(!suspicion.holds(at(3000), at(0), at(3000)));
  // A packet that is lost later is no such proof.
  suspicion.on_unanswered(at(4000), warmup, at(4060));
  suspicion.on_alive(at(4100));
  BOOST_CHECK(!suspicion.holds(at(4600), at(0), at(4700)));
}

// FAILBACK: guards against belief in entries of the time before an outage: not
// all upstreams have written theirs again when the store is back.
BOOST_AUTO_TEST_CASE(entries_count_when_all_are_written_again) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_alive(at(200));
  BOOST_CHECK(suspicion.holds(at(2000), at(3000), at(2100)));
  BOOST_CHECK(!suspicion.holds(at(3000), at(3000), at(3100)));
}

// Guards against an upstream that is spared although a flow from before shows
// that it was not restarted, as when it is full and takes no further one.
BOOST_AUTO_TEST_CASE(answers_on_earlier_flows_end_it) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_unanswered(at(140), warmup, at(200));
  // The flow may have been opened after a restart, or the answer sent before.
  suspicion.on_flow_answered(at(120), at(200));
  suspicion.on_flow_answered(at(50), at(190));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(260)));
  suspicion.on_flow_answered(at(50), at(191));
  BOOST_CHECK(!suspicion.holds(at(0), at(0), at(260)));
  suspicion.on_unanswered(at(300), warmup, at(360));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(460)));
}

// Guards against full upstreams that are spared all together, so that the
// others are full next: there is time for an answer on an earlier flow.
BOOST_AUTO_TEST_CASE(it_waits_for_earlier_flows) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  BOOST_CHECK(!suspicion.holds(at(0), at(0), at(259)));
  // Further ones do not defer it.
  suspicion.on_unanswered(at(180), warmup, at(240));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(260)));
}

// Guards against an upstream that is spared for ever, or of a service without
// cold starts.
BOOST_AUTO_TEST_CASE(it_lapses) {
  restart_suspicion suspicion;
  suspicion.on_unanswered(at(100), warmup, at(160));
  suspicion.on_unanswered(at(50), warmup, at(110));
  BOOST_CHECK(suspicion.holds(at(0), at(0), at(5090)));
  BOOST_CHECK(!suspicion.holds(at(0), at(0), at(5100)));
  restart_suspicion never;
  never.on_unanswered(at(100), milliseconds(0), at(160));
  BOOST_CHECK(!never.holds(at(0), at(0), at(200)));
}

}  // namespace
}  // namespace rosemarydrum
