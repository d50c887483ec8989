#pragma once

#include <map>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A non-idempotent request whose owner is another balancer.
struct remotely_owned_request {
  request_key key;
  fabric_envelope envelope;
  packet datagram;
  token owner_token;
  /// Sealed token for a refusal, so that the caller can send again.
  bytes fresh_token;
};

/// Forwards requests to their owners. If an owner cannot be reached, asks the
/// witness to close the request, and refuses it as not run if the witness has
/// closed it, as outcome unknown otherwise.
class request_forwarder {
 public:
  /// Time after which an unacknowledged forward is repeated.
  static constexpr milliseconds forward_interval{60};
  /// Time after which an unanswered `close_ask` is repeated.
  static constexpr milliseconds close_interval{60};
  /// Sends of one forward, with the first; then the witness is asked.
  static constexpr int forward_tries = 2;
  /// Sends of one `close_ask`, with the first; then the outcome is unknown.
  static constexpr int close_tries = 4;
  static constexpr std::size_t max_pending = 50'000;

  /// Asks the witness at once if the owner's run is known to be gone
  /// (`owner_live` is false).
  void start(const remotely_owned_request& request, bool owner_live,
             time_point now, actions& out);
  void on_forward_ack(balancer_id from, const forward_ack& ack);
  void on_close_answer(balancer_run from, const close_answer& answer,
                       actions& out);
  void tick(time_point now, actions& out);

  std::size_t pending() const { return pending_.size(); }

 private:
  struct entry {
    remotely_owned_request request;
    bool closing = false;
    int tries = 0;
    time_point next_try;
  };

  void send(entry& e, time_point now, actions& out);
  static void refuse(const remotely_owned_request& request, error_kind error,
                     actions& out);

  std::map<request_key, entry> pending_;
};

}  // namespace rosemarydrum
