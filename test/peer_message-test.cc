#define BOOST_TEST_MODULE peer_message
#include "rosemarydrum/balancer/peer_message.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Random values for RapidCheck properties; `any` returns a value under `below`.
std::uint64_t any(std::uint64_t below = ~std::uint64_t{0}) {
  return *rc::gen::inRange<std::uint64_t>(0, below);
}
std::uint32_t any32() {
  return static_cast<std::uint32_t>(any(std::uint64_t{1} << 32));
}
std::uint16_t any16() { return static_cast<std::uint16_t>(any(1 << 16)); }
bool any_bool() { return any(2) != 0; }

template <typename Generate>
auto any_list(Generate generate, std::size_t max_size = 20) {
  std::vector<decltype(generate())> list(any(max_size + 1));
  for (auto& entry : list) {
    entry = generate();
  }
  return list;
}
std::vector<shard_id> any_shards() {
  return any_list([] { return shard_id(any(shard_count)); }, shard_count);
}
balancer_run any_run() { return {balancer_id(any32()), incarnation(any())}; }
request_key any_request() {
  return {caller_id(any32()), service_id(any32()), flow_id(any()),
          request_id(any())};
}
flow_key any_flow() {
  return {caller_id(any32()), service_id(any32()), flow_id(any())};
}
upstream_limit any_limit() {
  return {
      service_id(any32()), {upstream_id(any32()), incarnation(any())}, any16()};
}
running_grant any_grant() {
  return {grant_id(any()), service_id(any32()), upstream_id(any32()), any32()};
}
std::string any_text() { return *rc::gen::arbitrary<std::string>(); }
document any_document() { return {any_text(), any_text(), revision(any())}; }
event_record any_event() {
  return {event_id(any16()),
          any_run(),
          any(),
          any(),
          any(),
          service_id(any32()),
          flow_id(any()),
          request_id(any()),
          upstream_id(any32()),
          data_centre_id(any16()),
          revision(any()),
          any(),
          any32()};
}

using body_generator = peer_body (*)();
const body_generator body_generators[] = {
    +[]() -> peer_body {
      return heartbeat{any(),           any(),        data_centre_id(any16()),
                       revision(any()), any_bool(),   any_shards(),
                       any_shards(),    any_shards(), any_list(any_limit)};
    },
    +[]() -> peer_body {
      return slot_ask{any(),
                      service_id(any32()),
                      flow_id(any()),
                      caller_id(any32()),
                      request_id(any()),
                      static_cast<std::uint8_t>(any(256)),
                      any_bool(),
                      any_bool(),
                      upstream_id(any32()),
                      any_list([] { return upstream_id(any32()); }),
                      any32(),
                      data_centre_id(any16()),
                      any_bool()};
    },
    +[]() -> peer_body {
      return slot_answer{
          any(),
          error_kind(any(static_cast<std::uint64_t>(error_kind::count))),
          grant_id(any()),
          service_id(any32()),
          upstream_id(any32()),
          incarnation(any()),
          any32(),
          any_bool()};
    },
    +[]() -> peer_body {
      return slot_release{grant_id(any()),
                          service_id(any32()),
                          upstream_id(any32()),
                          incarnation(any()),
                          attempt_outcome(any(6)),
                          any32(),
                          any16()};
    },
    +[]() -> peer_body {
      return grants_report{shard_id(any(shard_count)), any_list(any_grant)};
    },
    +[]() -> peer_body {
      return lease_handover{shard_id(any(shard_count)), any_list(any_grant),
                            any_list(any_limit)};
    },
    +[]() -> peer_body {
      return record_ask{any_request(), any()};
    },
    +[]() -> peer_body {
      return record_answer{any_request(), any_bool()};
    },
    +[]() -> peer_body {
      return close_ask{any_request(), any_run(), any_run(), any()};
    },
    +[]() -> peer_body {
      return close_answer{any_request(), any_bool()};
    },
    +[]() -> peer_body {
      return request_forward{
          static_cast<std::uint8_t>(any(2)),
          {{any32(), any16()}, {any32(), any16()}},
          any_list([] { return static_cast<std::uint8_t>(any(256)); }, 1152)};
    },
    +[]() -> peer_body { return forward_ack{any_request()}; },
    +[]() -> peer_body { return flow_ask{any_flow()}; },
    +[]() -> peer_body {
      return flow_answer{any_flow(),
                         {upstream_id(any32()), incarnation(any())}};
    },
    +[]() -> peer_body {
      flow_copy copy{service_id(any32()), any_list(any32), {}};
      for (std::size_t i = 0; i < copy.fingerprints.size(); ++i) {
        copy.upstreams.push_back(any16());
      }
      return copy;
    },
    +[]() -> peer_body { return config_push{any_list(any_document)}; },
    +[]() -> peer_body { return config_pull{revision(any())}; },
    +[]() -> peer_body { return events_pull{any()}; },
    +[]() -> peer_body { return events_page{any_list(any_event)}; },
};
static_assert(std::size(body_generators) == std::variant_size_v<peer_body>);

peer_message any_message(body_generator generate) {
  return {any_run(), incarnation(any()), any(), generate()};
}

// Guards against a field or type that the codec omits or confuses with another.
BOOST_AUTO_TEST_CASE(every_type_survives_a_round_trip) {
  for (const auto generate : body_generators) {
    BOOST_CHECK(rc::check([generate] {
      const auto message = any_message(generate);
      const auto decoded = decode_peer_message(encode(message));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded->body.index() ==
                static_cast<std::size_t>(std::find(std::begin(body_generators),
                                                   std::end(body_generators),
                                                   generate) -
                                         std::begin(body_generators)));
      RC_ASSERT(*decoded == message);
    }));
  }
}

// Guards against a crash or exception on bytes that are not a message.
BOOST_AUTO_TEST_CASE(random_bytes_do_not_crash_the_decoder) {
  BOOST_CHECK(rc::check([](const bytes& random) {
    // Whatever the decoder accepts must be within the encoder's bounds.
    if (const auto decoded = decode_peer_message(random)) {
      RC_ASSERT(!encode(*decoded).empty());
    }
  }));
}

// Guards against out-of-bounds reads of a truncated or corrupted datagram.
BOOST_AUTO_TEST_CASE(truncated_and_corrupted_bytes_do_not_crash_the_decoder) {
  for (const auto generate : body_generators) {
    BOOST_CHECK(rc::check([generate] {
      auto encoded = encode(any_message(generate));
      const auto corrupted_bytes = any(4);
      for (std::uint64_t i = 0; i < corrupted_bytes; ++i) {
        encoded[any(encoded.size())] ^= static_cast<std::uint8_t>(any(256));
      }
      encoded.resize(any(encoded.size() + 1));
      if (const auto decoded = decode_peer_message(encoded)) {
        RC_ASSERT(!encode(*decoded).empty());
      }
    }));
  }
}

// Guards against a peer that makes a receiver allocate without bound.
BOOST_AUTO_TEST_CASE(oversized_messages_are_refused) {
  peer_message message;
  message.body = events_page{std::vector<event_record>(4096)};
  BOOST_CHECK(decode_peer_message(encode(message)).has_value());
  message.body = events_page{std::vector<event_record>(4097)};
  BOOST_CHECK(encode(message).empty());
  message.body = config_push{{{"service/a", std::string(1 << 20, 'x'), {}}}};
  BOOST_CHECK(encode(message).empty());
  message.body = flow_copy{service_id(1), {1, 2}, {1}};
  BOOST_CHECK(encode(message).empty());
  message.body = slot_answer{1, error_kind::count, {}, {}, {}, {}, 0};
  BOOST_CHECK(encode(message).empty());
  BOOST_CHECK(!decode_peer_message(bytes(max_peer_message + 1)).has_value());
  BOOST_CHECK(!decode_peer_message({}).has_value());
}

// Guards against a short packed message that unpacks to gigabytes: two packed
// bytes can stand for 256 words of zeros.
BOOST_AUTO_TEST_CASE(packed_zeros_do_not_exhaust_memory) {
  bytes packed_zeros{0x10, 0xff, 0xff, 0xff, 0x0f};
  for (int i = 0; i < 100'000; ++i) {
    packed_zeros.insert(packed_zeros.end(), {0x00, 0xff});
  }
  BOOST_CHECK(!decode_peer_message(packed_zeros).has_value());
}

// Guards against frequent messages that outgrow a datagram, which would move
// them to the slower RPC connection.
BOOST_AUTO_TEST_CASE(frequent_messages_fit_a_datagram) {
  const balancer_run self{balancer_id(6900), incarnation(~std::uint64_t{0})};
  heartbeat beat;
  for (std::uint16_t i = 0; i < shard_count; ++i) {
    beat.wanted.push_back(shard_id(i));
    beat.granted.push_back(shard_id(i));
    beat.held.push_back(shard_id(i));
  }
  peer_message message{self, self.run, 1'000'000, beat};
  const auto size = encode(message).size();
  BOOST_TEST_MESSAGE("heartbeat with all shards: " << size << " bytes");
  BOOST_CHECK_LE(size, max_peer_datagram);
  message.body = slot_ask{};
  BOOST_CHECK_LE(encode(message).size(), max_peer_datagram);
}

}  // namespace
}  // namespace rosemarydrum
