#define BOOST_TEST_MODULE spread_message
#include "rosemarydrum/spread/spread_message.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemarydrum {
namespace {

spread_message any_bulletin() {
  bulletin told;
  told.reading = true;
  told.age = milliseconds(120);
  told.listing = {{{"servers/i-1", "{}", revision(7), false, false, {}},
                   {"op/config", "", revision(8), false, true, {}},
                   {"servers/i-2", "last", revision(9), true, false, {}}},
                  false,
                  revision(6),
                  revision(9)};
  return {"node-1", incarnation(5), revision(9), told, 42};
}

// Guards against a field that is lost on its way.
BOOST_AUTO_TEST_CASE(messages_survive_the_wire) {
  const auto sent = any_bulletin();
  const auto got = decode_spread_message(encode(sent));
  BOOST_REQUIRE(got);
  BOOST_CHECK_EQUAL(got->sender, "node-1");
  BOOST_CHECK(got->run == incarnation(5));
  BOOST_CHECK(got->at == revision(9));
  BOOST_CHECK_EQUAL(got->logical_time, 42U);
  const auto& told = std::get<bulletin>(got->body);
  const auto& expected = std::get<bulletin>(sent.body);
  BOOST_CHECK(told.reading && !told.leaving);
  BOOST_CHECK(told.age == expected.age);
  BOOST_CHECK(told.listing.items == expected.listing.items);
  BOOST_CHECK(told.listing.after == revision(6));
  BOOST_CHECK(told.listing.at == revision(9));
  const auto asked = decode_spread_message(
      encode({"node-2", incarnation(1), revision(3), inquiry{}, 1}));
  BOOST_REQUIRE(asked);
  BOOST_CHECK(std::holds_alternative<inquiry>(asked->body));
}

// Guards against reports of failures that are lost, and against longer ones
// than a datagram takes.
BOOST_AUTO_TEST_CASE(reports_of_failures_survive_the_wire) {
  failure_report report;
  for (std::uint64_t i = 0; i < max_reported_failures; ++i) {
    report.entries.push_back(
        {incarnation(~i), {upstream_key(~i * 7), 0xffff'ffff}});
  }
  const auto encoded =
      encode({"node-1", incarnation(5), revision(9), report, 1});
  BOOST_CHECK_LE(encoded.size(), max_spread_datagram);
  const auto got = decode_spread_message(encoded);
  BOOST_REQUIRE(got);
  BOOST_CHECK(std::get<failure_report>(got->body) == report);
}

// Guards against a datagram that ends the process: random bytes, and messages
// with random changes.
BOOST_AUTO_TEST_CASE(random_datagrams_are_refused_or_bounded) {
  std::minstd_rand random(7);
  const auto valid = encode(any_bulletin());
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
