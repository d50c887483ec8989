#pragma once

#include <optional>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What a token says of its flow. The caller echoes it unchanged.
struct token {
  flow_key flow;
  /// Upstream 0 if the flow has none yet.
  upstream_run upstream;
  /// The only balancer that may send the flow's non-idempotent requests.
  balancer_run owner;
  /// The balancer that keeps the second record of those requests.
  balancer_run witness;
  unix_ms expires = 0;

  friend bool operator==(const token&, const token&) = default;
};

inline constexpr seconds token_lifetime{60};

/// Seals and opens tokens with a secret that a deployment's balancers share.
///
/// Tokens are not encrypted. They carry a keyed XXH3 hash (128 bits) over the
/// token and its flow. XXH3 with a secret is not a cryptographic MAC: it
/// protects against mix-ups between callers, services and flows and against
/// casual forgery, not against an attacker who analyses many tokens. Access
/// to a service therefore never depends on a token alone (see admission.h).
class token_codec {
 public:
  /// `secret` has at least 16 bytes. Throws std::invalid_argument if shorter.
  explicit token_codec(bytes_view secret);

  /// At most `max_token` bytes.
  bytes seal(const token& t) const;
  /// Nullopt if `sealed` was not made with the secret for `flow`.
  std::optional<token> open(bytes_view sealed, const flow_key& flow) const;

 private:
  bytes secret_;
};

}  // namespace rosemarydrum
