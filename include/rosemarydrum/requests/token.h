#pragma once

#include <optional>

#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The contents of a token, which the caller of a flow echoes unchanged.
struct token {
  flow_key flow;
  /// The upstream that the flow is bound to; id 0 if none yet.
  upstream_run upstream;
  /// The only balancer that may send the flow's non-idempotent requests to
  /// upstreams.
  balancer_run owner;
  /// The balancer that keeps the second record of those requests.
  balancer_run witness;
  unix_ms expires = 0;

  friend bool operator==(const token&, const token&) = default;
};

inline constexpr seconds token_lifetime{60};

/// Seals and opens tokens with a secret that the balancers of a deployment
/// share.
///
/// Tokens are not encrypted. They carry a keyed XXH3 hash (128 bits) over the
/// token and its flow. XXH3 with a secret is not a cryptographic MAC: it
/// protects against mix-ups between callers, services and flows and against
/// casual forgery, not against an attacker who analyses many tokens. Access
/// to a service therefore never depends on a token alone (see admission.h).
class token_codec {
 public:
  /// Throws std::invalid_argument if `secret` has fewer than 16 bytes.
  explicit token_codec(bytes_view secret);

  /// Encodes `t` and its keyed hash; at most `max_token` bytes.
  bytes seal(const token& t) const;
  /// Decodes `sealed`; nullopt if it was not sealed with this secret for
  /// `flow`.
  std::optional<token> open(bytes_view sealed, const flow_key& flow) const;

 private:
  bytes secret_;
};

}  // namespace rosemarydrum
