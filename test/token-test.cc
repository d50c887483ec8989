#define BOOST_TEST_MODULE token
#include "rosemarydrum/requests/token.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/algorithm/hex.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>

#include "fixed_seed.h"

namespace rosemarydrum {
namespace {

template <typename Id>
Id any_id() {
  return Id(*rc::gen::arbitrary<std::underlying_type_t<Id>>());
}

token any_token() {
  return {{any_id<caller_id>(), any_id<service_id>(), any_id<flow_id>()},
          {any_id<upstream_id>(), any_id<incarnation>()},
          {any_id<balancer_id>(), any_id<incarnation>()},
          {any_id<balancer_id>(), any_id<incarnation>()},
          *rc::gen::arbitrary<std::uint64_t>()};
}

std::string to_text(const bytes& sealed) {
  return {sealed.begin(), sealed.end()};
}

const token_codec& codec() {
  static const token_codec instance(bytes(16, 7));
  return instance;
}

// Guards against fields that are lost, and against tokens that are too long.
RC_BOOST_PROP(round_trip, ()) {
  const token t = any_token();
  const bytes sealed = codec().seal(t);
  RC_ASSERT(sealed.size() <= max_token);
  RC_ASSERT(codec().open(sealed, t.flow) == t);
}

// Guards against a token that is valid for another caller, service or flow
// (guarantee 2).
RC_BOOST_PROP(bound_to_caller_service_and_flow, ()) {
  const token t = any_token();
  const bytes sealed = codec().seal(t);
  flow_key other = t.flow;
  other.caller = any_id<caller_id>();
  RC_ASSERT(other == t.flow || !codec().open(sealed, other));
  other = t.flow;
  other.service = any_id<service_id>();
  RC_ASSERT(other == t.flow || !codec().open(sealed, other));
  other = t.flow;
  other.flow = any_id<flow_id>();
  RC_ASSERT(other == t.flow || !codec().open(sealed, other));
}

// Guards against accepting a truncated token or one with a changed bit. A
// changed owner, for example, would allow a second run (guarantee 7).
RC_BOOST_PROP(changed_tokens_are_rejected, ()) {
  const token t = any_token();
  bytes sealed = codec().seal(t);
  const auto bit = *rc::gen::inRange<std::size_t>(0, sealed.size() * 8);
  sealed[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
  RC_ASSERT(!codec().open(sealed, t.flow));
  sealed = codec().seal(t);
  sealed.resize(*rc::gen::inRange<std::size_t>(0, sealed.size()));
  RC_ASSERT(!codec().open(sealed, t.flow));
}

// Guards against tokens that balancers on another kind of processor reject, and
// against a change of their format between releases.
BOOST_AUTO_TEST_CASE(the_encoding_is_fixed) {
  const token t{{caller_id(1), service_id(2), flow_id(3)},
                {upstream_id(4), incarnation(5)},
                {balancer_id(6), incarnation(7)},
                {balancer_id(8), incarnation(9)},
                0x0102030405060708};
  BOOST_TEST(boost::algorithm::hex(to_text(codec().seal(t))) ==
             "010000000400000000000000050000000600000000000000"
             "0700000008000000000000000901020304050607082F92ED"
             "1DDFBBCF482FFCB06CE41F3C30");
}

// Guards against tokens of one deployment that are valid in another because
// only a part of the secret is used.
BOOST_AUTO_TEST_CASE(each_secret_byte_changes_the_token) {
  const token t{{caller_id(1), service_id(2), flow_id(3)}, {}, {}, {}, 4};
  for (std::size_t index = 0; index < 40; ++index) {
    bytes secret(40, 7);
    const bytes sealed = token_codec(secret).seal(t);
    secret[index] ^= 1;
    BOOST_TEST(!token_codec(secret).open(sealed, t.flow).has_value());
  }
}

// Guards against a secret that is too short to protect tokens.
BOOST_AUTO_TEST_CASE(short_secret_is_rejected) {
  BOOST_CHECK_THROW(token_codec(bytes(15, 7)), std::invalid_argument);
}

}  // namespace
}  // namespace rosemarydrum
