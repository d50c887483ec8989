#include "rosemarydrum/requests/token.h"

#include <boost/endian/buffers.hpp>
#include <cstring>
#include <stdexcept>

// For small inputs of fixed size the inlined hash is faster than a call. By
// default it reads its input through pointers of other types on some
// processors, which breaks strict aliasing once it is inlined; 0 selects
// memcpy.
#define XXH_FORCE_MEMORY_ACCESS 0
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rosemarydrum {
namespace {

using boost::endian::big_uint32_buf_t;
using boost::endian::big_uint64_buf_t;
using boost::endian::big_uint8_buf_t;

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t derived_secret_bytes = 192;
static_assert(derived_secret_bytes >= XXH3_SECRET_SIZE_MIN);

constexpr std::uint8_t token_version = 1;

struct wire_token {
  big_uint8_buf_t version;
  big_uint32_buf_t upstream;
  big_uint64_buf_t upstream_run;
  big_uint32_buf_t owner;
  big_uint64_buf_t owner_run;
  big_uint32_buf_t witness;
  big_uint64_buf_t witness_run;
  big_uint64_buf_t expires;
};

// The hash covers the token and the flow that it is bound to.
struct hash_input {
  wire_token sealed;
  big_uint32_buf_t caller;
  big_uint32_buf_t service;
  big_uint64_buf_t flow;
};

constexpr std::size_t sealed_size =
    sizeof(wire_token) + sizeof(XXH128_canonical_t);
static_assert(sealed_size <= max_token);
static_assert(sizeof(hash_input) == sizeof(wire_token) + 16);

XXH128_canonical_t keyed_hash(const wire_token& wire, const flow_key& flow,
                              const bytes& secret) {
  hash_input input;
  input.sealed = wire;
  input.caller = value_of(flow.caller);
  input.service = value_of(flow.service);
  input.flow = value_of(flow.flow);
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(
      &canonical, XXH3_128bits_withSecret(&input, sizeof(input), secret.data(),
                                          secret.size()));
  return canonical;
}

}  // namespace

token_codec::token_codec(bytes_view secret) : secret_(derived_secret_bytes) {
  if (secret.size() < min_secret_bytes) {
    throw std::invalid_argument("the token secret has fewer than 16 bytes");
  }
  if (XXH3_generateSecret(secret_.data(), secret_.size(), secret.data(),
                          secret.size()) != XXH_OK) {
    throw std::invalid_argument(
        "cannot derive the hash key from the token secret");
  }
}

bytes token_codec::seal(const token& t) const {
  wire_token wire;
  wire.version = token_version;
  wire.upstream = value_of(t.upstream.id);
  wire.upstream_run = value_of(t.upstream.run);
  wire.owner = value_of(t.owner.id);
  wire.owner_run = value_of(t.owner.run);
  wire.witness = value_of(t.witness.id);
  wire.witness_run = value_of(t.witness.run);
  wire.expires = t.expires;
  const auto hash = keyed_hash(wire, t.flow, secret_);
  bytes sealed(sealed_size);
  std::memcpy(sealed.data(), &wire, sizeof(wire));
  std::memcpy(sealed.data() + sizeof(wire), &hash, sizeof(hash));
  return sealed;
}

std::optional<token> token_codec::open(bytes_view sealed,
                                       const flow_key& flow) const {
  if (sealed.size() != sealed_size) {
    return std::nullopt;
  }
  wire_token wire;
  std::memcpy(&wire, sealed.data(), sizeof(wire));
  const auto expected = keyed_hash(wire, flow, secret_);
  if (wire.version.value() != token_version ||
      std::memcmp(sealed.data() + sizeof(wire), &expected, sizeof(expected)) !=
          0) {
    return std::nullopt;
  }
  return token{
      flow,
      {upstream_id(wire.upstream.value()),
       incarnation(wire.upstream_run.value())},
      {balancer_id(wire.owner.value()), incarnation(wire.owner_run.value())},
      {balancer_id(wire.witness.value()),
       incarnation(wire.witness_run.value())},
      wire.expires.value()};
}

}  // namespace rosemarydrum
