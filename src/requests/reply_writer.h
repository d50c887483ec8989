#pragma once

#include <optional>

#include "requests/finished_requests.h"
#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/requests/token.h"

namespace rosemarydrum::detail {

/// Sends answers and refusals to callers, with fresh tokens.
class reply_writer {
 public:
  reply_writer(const token_codec& tokens, balancer_run self)
      : tokens_(tokens), self_(self) {}

  /// Makes fresh tokens name `owner` and `witness`. Called when this balancer
  /// leaves.
  void set_successor(balancer_run owner, balancer_run witness) {
    successor_ = owner;
    successor_witness_ = witness;
  }

  /// Sends `result`: all parts of the answer, or the refusal.
  void send(const owned_request& request, const finished_request& result,
            time_point now, actions& out) const;
  void refuse(const owned_request& request, error_kind error, certainty outcome,
              time_point now, actions& out) const;

 private:
  bytes fresh_token(const owned_request& request, upstream_run upstream,
                    time_point now) const;

  const token_codec& tokens_;
  balancer_run self_;
  std::optional<balancer_run> successor_;
  balancer_run successor_witness_;
};

}  // namespace rosemarydrum::detail
