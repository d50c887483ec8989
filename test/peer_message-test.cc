#define BOOST_TEST_MODULE peer_message
#include "rosemarydrum/balancer/peer_message.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Random values for RapidCheck properties; `random_below` returns a value under
// `below`.
std::uint64_t random_below(std::uint64_t below = ~std::uint64_t{0}) {
  return *rc::gen::inRange<std::uint64_t>(0, below);
}
std::uint32_t random_u32() {
  return static_cast<std::uint32_t>(random_below(std::uint64_t{1} << 32));
}
std::uint16_t random_u16() {
  return static_cast<std::uint16_t>(random_below(1 << 16));
}
bool random_bool() { return random_below(2) != 0; }

template <typename Generate>
auto random_list(Generate generate, std::size_t max_size = 20) {
  std::vector<decltype(generate())> list(random_below(max_size + 1));
  for (auto& entry : list) {
    entry = generate();
  }
  return list;
}
std::vector<shard_id> random_shards() {
  return random_list([] { return shard_id(random_below(shard_count)); },
                     shard_count);
}
balancer_run random_run() {
  return {balancer_id(random_u32()), incarnation(random_below())};
}
request_key random_request() {
  return {caller_id(random_u32()), service_id(random_u32()),
          flow_id(random_below()), request_id(random_below())};
}
flow_key random_flow() {
  return {caller_id(random_u32()), service_id(random_u32()),
          flow_id(random_below())};
}
upstream_limit random_limit() {
  return {service_id(random_u32()),
          {upstream_id(random_u32()), incarnation(random_below())},
          random_u16()};
}
running_grant random_grant() {
  return {grant_id(random_below()), service_id(random_u32()),
          upstream_id(random_u32()), random_u32()};
}
std::string random_text() { return *rc::gen::arbitrary<std::string>(); }
document random_document() {
  return {random_text(), random_text(), revision(random_below())};
}
event_record random_event() {
  return {event_id(random_u16()),
          random_run(),
          random_below(),
          random_below(),
          random_below(),
          service_id(random_u32()),
          flow_id(random_below()),
          request_id(random_below()),
          upstream_id(random_u32()),
          data_centre_id(random_u16()),
          revision(random_below()),
          random_below(),
          random_u32()};
}

using body_generator = peer_body (*)();
const body_generator body_generators[] = {
    +[]() -> peer_body {
      return heartbeat{random_below(),
                       random_below(),
                       data_centre_id(random_u16()),
                       revision(random_below()),
                       random_bool(),
                       random_shards(),
                       random_shards(),
                       random_shards(),
                       random_list(random_limit)};
    },
    +[]() -> peer_body {
      return slot_ask{random_below(),
                      service_id(random_u32()),
                      flow_id(random_below()),
                      caller_id(random_u32()),
                      request_id(random_below()),
                      static_cast<std::uint8_t>(random_below(256)),
                      random_bool(),
                      random_bool(),
                      upstream_id(random_u32()),
                      random_list([] { return upstream_id(random_u32()); }),
                      random_u32(),
                      data_centre_id(random_u16()),
                      random_bool()};
    },
    +[]() -> peer_body {
      return slot_answer{random_below(),
                         error_kind(random_below(
                             static_cast<std::uint64_t>(error_kind::count))),
                         grant_id(random_below()),
                         service_id(random_u32()),
                         upstream_id(random_u32()),
                         incarnation(random_below()),
                         random_u32(),
                         random_bool()};
    },
    +[]() -> peer_body {
      return slot_release{grant_id(random_below()),
                          service_id(random_u32()),
                          upstream_id(random_u32()),
                          incarnation(random_below()),
                          attempt_outcome(random_below(6)),
                          random_u32(),
                          random_u16()};
    },
    +[]() -> peer_body {
      return grants_report{shard_id(random_below(shard_count)),
                           random_list(random_grant)};
    },
    +[]() -> peer_body {
      return lease_handover{shard_id(random_below(shard_count)),
                            random_list(random_grant),
                            random_list(random_limit)};
    },
    +[]() -> peer_body {
      return record_ask{random_request(), random_below()};
    },
    +[]() -> peer_body {
      return record_answer{random_request(), random_bool()};
    },
    +[]() -> peer_body {
      return close_ask{random_request(), random_run(), random_run(),
                       random_below()};
    },
    +[]() -> peer_body {
      return close_answer{random_request(), random_bool()};
    },
    +[]() -> peer_body {
      return request_forward{
          static_cast<std::uint8_t>(random_below(2)),
          {{random_u32(), random_u16()}, {random_u32(), random_u16()}},
          random_list(
              [] { return static_cast<std::uint8_t>(random_below(256)); },
              1152)};
    },
    +[]() -> peer_body { return forward_ack{random_request()}; },
    +[]() -> peer_body { return flow_ask{random_flow()}; },
    +[]() -> peer_body {
      return flow_answer{
          random_flow(),
          {upstream_id(random_u32()), incarnation(random_below())}};
    },
    +[]() -> peer_body {
      flow_copy copy{service_id(random_u32()), random_list(random_u32), {}};
      for (std::size_t i = 0; i < copy.fingerprints.size(); ++i) {
        copy.upstreams.push_back(random_u16());
      }
      return copy;
    },
    +[]() -> peer_body { return config_push{random_list(random_document)}; },
    +[]() -> peer_body { return config_pull{revision(random_below())}; },
    +[]() -> peer_body { return events_pull{random_below()}; },
    +[]() -> peer_body { return events_page{random_list(random_event)}; },
};
static_assert(std::size(body_generators) == std::variant_size_v<peer_body>);

peer_message random_message(body_generator generate) {
  return {random_run(), incarnation(random_below()), random_below(),
          generate()};
}

// Guards against a field or type that the codec omits or confuses with another.
BOOST_AUTO_TEST_CASE(every_type_survives_a_round_trip) {
  for (const auto generate : body_generators) {
    BOOST_CHECK(rc::check([generate] {
      const auto message = random_message(generate);
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
      auto encoded = encode(random_message(generate));
      const auto corrupted_bytes = random_below(4);
      for (std::uint64_t i = 0; i < corrupted_bytes; ++i) {
        encoded[random_below(encoded.size())] ^=
            static_cast<std::uint8_t>(random_below(256));
      }
      encoded.resize(random_below(encoded.size() + 1));
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
