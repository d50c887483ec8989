#define BOOST_TEST_MODULE packet
#include "rosemarydrum/requests/packet.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"

namespace rosemarydrum {
namespace {

template <typename T>
T between(std::uint64_t low, std::uint64_t high) {
  return static_cast<T>(*rc::gen::inRange<std::uint64_t>(low, high));
}

bytes any_bytes(std::size_t max) {
  return *rc::gen::container<bytes>(between<std::size_t>(0, max + 1),
                                    rc::gen::arbitrary<std::uint8_t>());
}

packet any_packet() {
  packet p;
  packet_header& h = p.header;
  h.kind = between<packet_kind>(1, 10);
  h.idempotent = *rc::gen::arbitrary<bool>();
  h.opens_flow = *rc::gen::arbitrary<bool>();
  h.priority = *rc::gen::arbitrary<std::uint8_t>();
  h.attempt = *rc::gen::arbitrary<std::uint32_t>();
  h.error = between<error_kind>(0, static_cast<int>(error_kind::count));
  h.outcome = between<certainty>(0, 3);
  h.parts = between<std::uint16_t>(1, max_parts + 1);
  h.part = between<std::uint16_t>(0, h.parts);
  h.time_left_ms = between<std::uint32_t>(0, max_time_left_ms + 1);
  h.service = service_id(*rc::gen::arbitrary<std::uint32_t>());
  h.flow = flow_id(*rc::gen::arbitrary<std::uint64_t>());
  h.request = request_id(*rc::gen::arbitrary<std::uint64_t>());
  h.send_by = *rc::gen::arbitrary<std::uint64_t>();
  h.upstream_run = incarnation(*rc::gen::arbitrary<std::uint64_t>());
  h.reported_load = *rc::gen::arbitrary<std::uint16_t>();
  p.token = any_bytes(max_token);
  p.payload = any_bytes(max_payload);
  return p;
}

// Guards against fields that are lost or swapped between encode and decode.
RC_BOOST_PROP(round_trip, ()) {
  const packet p = any_packet();
  RC_ASSERT(decode_packet(encode(p)) == p);
}

// Guards against reading past the end of a truncated datagram, and against
// accepting trailing bytes.
RC_BOOST_PROP(wrong_sizes_are_rejected, ()) {
  const bytes whole = encode(any_packet());
  const bytes cut(whole.begin(),
                  whole.begin() + between<std::ptrdiff_t>(0, whole.size()));
  RC_ASSERT(!decode_packet(cut));
  bytes longer = whole;
  longer.push_back(0);
  RC_ASSERT(!decode_packet(longer));
}

// Guards against accepting fields that are out of range: a datagram that is
// accepted after random changes must be in range and encode to the same bytes.
RC_BOOST_PROP(changed_bytes_stay_in_bounds, ()) {
  bytes datagram = encode(any_packet());
  for (int changes = between<int>(1, 5); changes > 0; --changes) {
    datagram[between<std::size_t>(0, header_size)] =
        *rc::gen::arbitrary<std::uint8_t>();
  }
  if (const auto p = decode_packet(datagram)) {
    RC_ASSERT(encode(*p) == datagram);
    RC_ASSERT(p->header.kind >= packet_kind::request);
    RC_ASSERT(p->header.kind <= packet_kind::rejected_late);
    RC_ASSERT(p->header.error < error_kind::count);
    RC_ASSERT(p->header.outcome <= certainty::not_applicable);
    RC_ASSERT(p->header.parts >= 1 && p->header.parts <= max_parts);
    RC_ASSERT(p->header.part < p->header.parts);
    RC_ASSERT(p->header.time_left_ms <= max_time_left_ms);
    RC_ASSERT(p->token.size() <= max_token);
    RC_ASSERT(p->payload.size() <= max_payload);
  }
}

// Guards against accepting a single field just outside its range.
BOOST_AUTO_TEST_CASE(fields_out_of_range_are_rejected) {
  const auto rejected = [](auto change) {
    packet p;
    change(p.header);
    return !decode_packet(encode(p));
  };
  BOOST_TEST(!rejected([](packet_header&) {}));
  BOOST_TEST(rejected([](auto& h) { h.kind = packet_kind(0); }));
  BOOST_TEST(rejected([](auto& h) { h.kind = packet_kind(10); }));
  BOOST_TEST(rejected([](auto& h) { h.error = error_kind::count; }));
  BOOST_TEST(rejected([](auto& h) { h.outcome = certainty(3); }));
  BOOST_TEST(rejected([](auto& h) { h.parts = 0; }));
  BOOST_TEST(rejected([](auto& h) { h.parts = max_parts + 1; }));
  BOOST_TEST(rejected([](auto& h) { h.part = h.parts; }));
  BOOST_TEST(rejected([](auto& h) { h.time_left_ms = max_time_left_ms + 1; }));
  for (const std::size_t offset : {0, 3, 4, 6}) {  // magic, version, flags
    bytes datagram = encode(packet{});
    datagram[offset] ^= 0x80;
    BOOST_TEST(!decode_packet(datagram));
  }
}

// Guards against a crash on datagrams that are not packets.
RC_BOOST_PROP(random_bytes_do_not_crash, ()) {
  const bytes datagram = any_bytes(2 * header_size);
  decode_packet(datagram);
  decode_envelope(datagram);
}

// Guards against mixing up the caller's and the service's address.
RC_BOOST_PROP(envelope_round_trip, ()) {
  const auto any_endpoint = [] {
    return endpoint{*rc::gen::arbitrary<std::uint32_t>(),
                    *rc::gen::arbitrary<std::uint16_t>()};
  };
  const fabric_envelope envelope{any_endpoint(), any_endpoint()};
  const bytes inner = any_bytes(100);
  const bytes datagram = encode(envelope, inner);
  const auto got = decode_envelope(datagram);
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->envelope == envelope);
  RC_ASSERT(bytes(got->inner.begin(), got->inner.end()) == inner);
  RC_ASSERT(!decode_envelope(bytes_view(datagram).first(envelope_size - 1)));
  RC_ASSERT(!decode_envelope(bytes_view(datagram).subspan(1)));
}

}  // namespace
}  // namespace rosemarydrum
