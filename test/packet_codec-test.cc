#define BOOST_TEST_MODULE packet_codec
#include "platform/packet_codec.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "fleet/test_packets.h"
#include "rosemarydrum/address_text.h"

namespace rosemarydrum::platform {
namespace {

using test_packets::ack;
using test_packets::datagram_of;
using test_packets::flow_of;

bytes from_hex(std::string_view text) {
  bytes result;
  for (std::size_t at = 0; at + 1 < text.size(); at += 3) {
    result.push_back(static_cast<std::uint8_t>(
        std::stoi(std::string(text.substr(at, 2)), nullptr, 16)));
  }
  return result;
}

// Example of an opening packet from the protocol page.
const bytes opening = from_hex(
    "11 22 33 44 00 00 00 00 10 00 00 00 00 00 00 00 a1 b2 c3 d5 c6 12 00 01 "
    "9c 41 64 40 00 07 01 bb 00 00");

// Guards against fields that are decoded from the wrong offset.
BOOST_AUTO_TEST_CASE(the_example_is_read) {
  const packet_codec codec;
  const auto read = codec.decode(opening);
  BOOST_REQUIRE(read);
  BOOST_CHECK_EQUAL(to_string(read->flow.caller), "100.64.0.7:40001");
  BOOST_CHECK_EQUAL(to_string(read->flow.service), "198.18.0.1:443");
  BOOST_CHECK(read->opens && !read->acknowledges && !read->finishes &&
              !read->resets);
  BOOST_CHECK_EQUAL(read->sequence, 0x11223344U);
  BOOST_CHECK(read->tag == upstream_tag{});
  BOOST_CHECK(read->data.empty());
}

// Guards against a reset that callers do not accept. The expected bytes are the
// example of the protocol page.
BOOST_AUTO_TEST_CASE(resets_are_as_in_the_example) {
  const packet_codec codec;
  BOOST_CHECK(codec.reset_for(*codec.decode(opening)) ==
              from_hex("00 00 00 00 00 00 00 00 20 00 00 00 00 00 00 00 00 00 "
                       "00 00 64 40 00 07 01 bb c6 12 00 01 9c 41 00 00"));
  // On an open flow the caller accepts only a sequence number in its window.
  const auto data = datagram_of({flow_of(1), ack, 9, 77'000, 5}, "x");
  const auto reset = codec.reset_for(*codec.decode(data));
  BOOST_CHECK_EQUAL(boost::endian::load_big_u32(reset.data()), 77'000U);
}

// Guards against changes to a forwarded packet: only the tag may differ from
// what the caller sent.
BOOST_AUTO_TEST_CASE(only_the_tag_changes) {
  const packet_codec codec;
  const auto original =
      datagram_of({flow_of(1), ack, 9, 3, 0x01020304}, "data of the caller");
  bytes buffer(codec.headroom());
  buffer.insert(buffer.end(), original.begin(), original.end());
  codec.address_to(buffer, upstream_key(0xe7dd864c2a),
                   upstream_tag(0xaabbccdd));
  BOOST_CHECK_EQUAL(boost::endian::load_big_u64(buffer.data()),
                    0xe7dd864c2aULL);
  for (std::size_t i = 0; i < original.size(); ++i) {
    const bool is_tag = i >= 12 && i < 16;
    BOOST_CHECK(is_tag || buffer[8 + i] == original[i]);
  }
  BOOST_CHECK_EQUAL(boost::endian::load_big_u32(buffer.data() + 20),
                    0xaabbccddU);
}

// Guards against accepting packets that are truncated, too long or have unknown
// flags.
BOOST_AUTO_TEST_CASE(malformed_packets_are_refused) {
  const packet_codec codec;
  for (std::size_t size = 0; size < opening.size(); ++size) {
    BOOST_CHECK(!codec.decode(bytes_view(opening).first(size)));
  }
  auto longer = opening;
  longer.push_back(0);
  BOOST_CHECK(!codec.decode(longer));
  auto flagged = opening;
  flagged[8] |= 1;
  BOOST_CHECK(!codec.decode(flagged));
  BOOST_CHECK(codec.decode(datagram_of({flow_of(1)}, std::string(1200, 'x'))));
  BOOST_CHECK(!codec.decode(datagram_of({flow_of(1)}, std::string(1201, 'x'))));
}

// Guards against request ids that are missed, incomplete or too long for the
// log.
BOOST_AUTO_TEST_CASE(request_ids_are_found_and_bounded) {
  const packet_codec codec;
  const auto id = [&](const std::string& text) {
    const bytes data(text.begin(), text.end());
    return std::string(codec.request_id(data));
  };
  BOOST_CHECK_EQUAL(id("GET / HTTP/1.1\r\nX-Request-Id: 7f\r\n\r\n"), "7f");
  BOOST_CHECK_EQUAL(id("GET / HTTP/1.1\r\nx-request-ID: 7f\r\n\r\n"), "7f");
  BOOST_CHECK_EQUAL(id("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "");
  BOOST_CHECK_EQUAL(id("GET / HTTP/1.1\r\nX-Request-Id: cut"), "");
  BOOST_CHECK_EQUAL(id("GET / HTTP/1.1\r\nX-Request-Id: " +
                       std::string(65, 'a') + "\r\n\r\n"),
                    "");
}

// Guards against a packet that crashes the process. Decodes 10^6 random
// packets.
BOOST_AUTO_TEST_CASE(random_packets_are_survived) {
  const packet_codec codec;
  std::minstd_rand random(11);
  std::size_t decoded = 0;
  bytes datagram;
  for (int i = 0; i < 1'000'000; ++i) {
    datagram.resize(random() % 80);
    for (auto& byte : datagram) {
      byte = static_cast<std::uint8_t>(random());
    }
    if (i % 2 == 0 && datagram.size() >= 34) {
      datagram[8] &= 0x76;
      boost::endian::store_big_u16(
          datagram.data() + 32,
          static_cast<std::uint16_t>(datagram.size() - 34));
    }
    if (const auto read = codec.decode(datagram)) {
      ++decoded;
      codec.request_id(read->data);
      codec.reset_for(*read);
    }
  }
  BOOST_CHECK_GT(decoded, 100'000U);
}

}  // namespace
}  // namespace rosemarydrum::platform
