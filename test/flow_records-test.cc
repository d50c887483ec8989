#define BOOST_TEST_MODULE flow_records
#include "rosemarydrum/forwarding/flow_records.h"

#include <boost/test/unit_test.hpp>

#include "fleet/test_packets.h"

namespace rosemarydrum {
namespace {

using test_packets::flow_of;

constexpr time_point start{seconds(100)};

flow_record open_at(std::uint16_t port, std::uint64_t upstream,
                    milliseconds age = milliseconds(0)) {
  return {flow_of(port), flow_record_kind::open, upstream_key(upstream), age};
}

flow_record opening(std::uint16_t port) {
  return {flow_of(port), flow_record_kind::opening, {}, milliseconds(0)};
}

struct fixture {
  bool is_at(std::uint16_t port, std::uint64_t upstream, time_point now) const {
    const auto found = tested.find(flow_of(port), now);
    return found && found->upstream == upstream_key(upstream);
  }
  flow_records tested{seconds(60)};
};

// Guards against the record of a late answer that replaces that of the first
// one, in whatever order they arrive.
BOOST_FIXTURE_TEST_CASE(the_earliest_record_counts, fixture) {
  tested.apply(open_at(1, 7), start);
  tested.apply(open_at(1, 8), start + seconds(1));
  BOOST_CHECK(is_at(1, 7, start + seconds(2)));
  tested.apply(open_at(1, 9, milliseconds(2500)), start + seconds(2));
  BOOST_CHECK(is_at(1, 9, start + seconds(2)));
  BOOST_CHECK(tested.find(flow_of(1), start + seconds(2))->age ==
              milliseconds(2500));
}

// Guards against a record that outlives its flow, also if it was received from
// another member.
BOOST_FIXTURE_TEST_CASE(records_expire_with_their_flow, fixture) {
  tested.apply(open_at(1, 7), start);
  tested.apply(open_at(2, 7, milliseconds(30'000)), start);
  tested.apply(open_at(3, 7, milliseconds(60'000)), start);
  BOOST_CHECK(is_at(2, 7, start + milliseconds(29'999)));
  BOOST_CHECK(!is_at(2, 7, start + seconds(30)));
  BOOST_CHECK(!is_at(3, 7, start));
  tested.expire(start + seconds(60));
  BOOST_CHECK_EQUAL(tested.size(), 0U);
}

// Guards against an earlier flow's record that is used for a new flow of the
// same ends, and against a late copy of an opening packet that drops a record.
BOOST_FIXTURE_TEST_CASE(a_new_flow_drops_the_record_of_an_old_one, fixture) {
  tested.apply(open_at(1, 7), start);
  tested.apply(opening(1), start + milliseconds(800));
  BOOST_CHECK(is_at(1, 7, start + milliseconds(800)));
  tested.apply(opening(1), start + seconds(5));
  BOOST_CHECK(!is_at(1, 7, start + seconds(5)));
}

// Guards against a table that grows without bound.
BOOST_FIXTURE_TEST_CASE(records_are_bounded, fixture) {
  for (std::uint32_t i = 0; i < max_flow_records + 10; ++i) {
    auto record = open_at(static_cast<std::uint16_t>(i), 7);
    record.flow.caller.address += i >> 16;
    tested.apply(record, start + microseconds(i));
  }
  BOOST_CHECK_EQUAL(tested.size(), max_flow_records);
  BOOST_CHECK(!is_at(0, 7, start + seconds(1)));
  BOOST_CHECK_EQUAL(tested.all(start + seconds(1)).size(), max_flow_records);
}

}  // namespace
}  // namespace rosemarydrum
