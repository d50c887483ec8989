#define BOOST_TEST_MODULE spread_message
#include "rosemarydrum/spread/spread_message.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemarydrum {
namespace {

spread_message bulletin_message() {
  bulletin body;
  body.reading = true;
  body.age = milliseconds(120);
  body.history = {{},
                  milliseconds(9000),
                  {{upstream_key(7), sighting_kind::unanswered_handshake,
                    milliseconds(40)}}};
  body.listing = {
      {{"servers/i-1", "{}", revision(7), false, false, {}},
       {"op/config", "", revision(8), false, true, {}},
       {"servers/i-2",
        "last",
        revision(9),
        true,
        false,
        {},
        false,
        milliseconds(7)},
       {"servers/i-3", "{}", {store_era(2), 5}, false, false, {}, true}},
      false,
      revision(6),
      {store_era(2), 8},
      {store_era(1), 4}};
  return {"node-1", incarnation(5), {store_era(2), 9}, body, 42};
}

// Guards against a field that is not encoded or decoded.
BOOST_AUTO_TEST_CASE(messages_round_trip) {
  const auto sent = bulletin_message();
  const auto received = decode_spread_message(encode(sent));
  BOOST_REQUIRE(received);
  BOOST_CHECK_EQUAL(received->sender, "node-1");
  BOOST_CHECK(received->run == incarnation(5));
  BOOST_CHECK(received->at == revision(store_era(2), 9));
  BOOST_CHECK_EQUAL(received->logical_time, 42U);
  const auto& body = std::get<bulletin>(received->body);
  const auto& expected = std::get<bulletin>(sent.body);
  BOOST_CHECK(body.reading && !body.leaving);
  BOOST_CHECK(body.age == expected.age);
  BOOST_CHECK(body.history == expected.history);
  BOOST_CHECK(body.listing.items == expected.listing.items);
  BOOST_CHECK(body.listing.after == revision(6));
  BOOST_CHECK(body.listing.at == revision(store_era(2), 8));
  BOOST_CHECK(body.listing.bridge == revision(store_era(1), 4));
  const auto received_inquiry = decode_spread_message(
      encode({"node-2", incarnation(1), revision(3), inquiry{}, 1}));
  BOOST_REQUIRE(received_inquiry);
  BOOST_CHECK(std::holds_alternative<inquiry>(received_inquiry->body));
}

// Guards against failure reports that are not decoded as sent, and against a
// report that exceeds a datagram.
BOOST_AUTO_TEST_CASE(failure_reports_round_trip) {
  failure_report report;
  for (std::uint64_t i = 0; i < max_reported_failures; ++i) {
    report.entries.push_back(
        {incarnation(~i), {upstream_key(~i * 7), 0xffff'ffff}});
  }
  const auto encoded =
      encode({"node-1", incarnation(5), revision(9), report, 1});
  BOOST_CHECK_LE(encoded.size(), max_spread_datagram);
  const auto received = decode_spread_message(encoded);
  BOOST_REQUIRE(received);
  BOOST_CHECK(std::get<failure_report>(received->body) == report);
}

// Guards against sightings that are not decoded as sent, and against a report
// that exceeds a datagram.
BOOST_AUTO_TEST_CASE(sighting_reports_round_trip) {
  sighting_report report;
  for (std::uint64_t i = 0; i < max_reported_sightings; ++i) {
    report.entries.push_back({upstream_key(~i * 7), sighting_kind(i % 3),
                              milliseconds(59'999), milliseconds(59'998)});
  }
  const auto encoded =
      encode({"node-1", incarnation(5), revision(9), report, 1});
  BOOST_CHECK_LE(encoded.size(), max_spread_datagram);
  const auto received = decode_spread_message(encoded);
  BOOST_REQUIRE(received);
  BOOST_CHECK(std::get<sighting_report>(received->body) == report);
}

// Guards against records of flows that are not decoded as sent, and against a
// report that exceeds a datagram.
BOOST_AUTO_TEST_CASE(flow_records_round_trip) {
  flow_record_report report;
  for (std::uint32_t i = 0; i < max_reported_flows; ++i) {
    report.records.push_back(
        {{{~i, 0xffff}, {~i * 7, 0xfffe}},
         i % 2 == 0 ? flow_record_kind::open : flow_record_kind::opening,
         upstream_key(~std::uint64_t{i} * 7),
         milliseconds(59'999)});
  }
  const auto encoded =
      encode({"node-1", incarnation(5), revision(9), report, 1});
  BOOST_CHECK_LE(encoded.size(), max_spread_datagram);
  const auto received = decode_spread_message(encoded);
  BOOST_REQUIRE(received);
  BOOST_CHECK(std::get<flow_record_report>(received->body) == report);
  bulletin answer;
  answer.history = member_history{report.records};
  const auto received_answer = decode_spread_message(
      encode({"node-1", incarnation(5), revision(9), answer, 1}));
  BOOST_REQUIRE(received_answer);
  BOOST_CHECK(std::get<bulletin>(received_answer->body).history ==
              answer.history);
}

// Guards against a crash on malformed datagrams: random bytes, and messages
// with random changes.
BOOST_AUTO_TEST_CASE(random_datagrams_do_not_crash) {
  std::minstd_rand random(7);
  const auto valid = encode(bulletin_message());
  std::size_t decoded = 0;
  for (int i = 0; i < 100'000; ++i) {
    auto datagram = valid;
    if (i % 2 == 0) {
      datagram.resize(random() % 200);
      for (auto& byte : datagram) {
        byte = static_cast<std::uint8_t>(random());
      }
    } else {
      for (int change = 0; change < 3; ++change) {
        datagram[random() % datagram.size()] =
            static_cast<std::uint8_t>(random());
      }
    }
    decoded += decode_spread_message(datagram) ? 1 : 0;
  }
  BOOST_CHECK_GT(decoded, 0U);
  BOOST_CHECK(!decode_spread_message({}));
}

}  // namespace
}  // namespace rosemarydrum
