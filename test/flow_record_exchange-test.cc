#define BOOST_TEST_MODULE flow_record_exchange
#include "rosemarydrum/spread/flow_record_exchange.h"

#include <boost/test/unit_test.hpp>

#include "fleet/test_packets.h"

namespace rosemarydrum {
namespace {

using test_packets::flow_of;

constexpr time_point start{seconds(100)};

flow_record open_at(std::uint16_t port, std::uint64_t upstream) {
  return {flow_of(port), flow_record_kind::open, upstream_key(upstream),
          milliseconds(0)};
}

// Guards against records that wait although nothing else was sent, against many
// datagrams in quick succession, and against records that are lost between.
BOOST_AUTO_TEST_CASE(records_are_sent_at_once_and_in_batches) {
  flow_record_exchange tested(seconds(60));
  tested.add({open_at(0, 7)}, start);
  BOOST_REQUIRE(tested.take(start));
  std::vector<flow_record> more;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    more.push_back(open_at(port, 7));
  }
  tested.add(more, start);
  BOOST_CHECK(!tested.take(start + milliseconds(99)));
  const auto first = tested.take(start + milliseconds(100));
  const auto second = tested.take(start + milliseconds(200));
  BOOST_REQUIRE(first && second);
  BOOST_CHECK_EQUAL(first->records.size(), max_reported_flows);
  BOOST_CHECK_EQUAL(first->records.size() + second->records.size(), 40U);
  BOOST_CHECK(!tested.take(start + milliseconds(300)));
}

// Guards against a member that starts and is not told what others have told.
BOOST_AUTO_TEST_CASE(own_and_received_records_are_known) {
  flow_record_exchange tested(seconds(60));
  tested.add({open_at(1, 7)}, start);
  tested.on_report({{open_at(2, 8)}}, start);
  const auto all = tested.all(start + seconds(1));
  BOOST_REQUIRE_EQUAL(all.size(), 2U);
  BOOST_CHECK(all[0].age == milliseconds(1000));
  tested.expire(start + seconds(60));
  BOOST_CHECK(tested.all(start + seconds(60)).empty());
}

}  // namespace
}  // namespace rosemarydrum
