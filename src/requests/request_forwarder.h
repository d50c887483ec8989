#pragma once

#include <map>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// A non-idempotent request whose owner is another balancer.
struct foreign_request {
  request_key key;
  fabric_envelope envelope;
  packet datagram;
  token authority;
  /// Sealed token for the refusal, so that the caller can go on.
  bytes fresh_token;
};

/// Passes requests to their owners. When an owner cannot be reached, asks the
/// witness to close the request, and refuses it with what the witness says.
class request_forwarder {
 public:
  /// Unacknowledged forwards are repeated after this time, once.
  static constexpr milliseconds forward_interval{60};
  /// Unanswered requests to close are repeated after this time.
  static constexpr milliseconds close_interval{60};
  static constexpr int forward_tries = 2;
  static constexpr int close_tries = 4;
  static constexpr std::size_t max_pending = 50'000;

  /// `owner_live` is false if the owner's run is known to be gone.
  void start(const foreign_request& request, bool owner_live, time_point now,
             actions& out);
  void on_forward_ack(balancer_id from, const forward_ack& ack);
  void on_close_answer(balancer_run from, const close_answer& answer,
                       actions& out);
  void tick(time_point now, actions& out);

  std::size_t pending() const { return pending_.size(); }

 private:
  struct entry {
    foreign_request request;
    bool closing = false;
    int tries = 0;
    time_point next_try;
  };

  void send(entry& e, time_point now, actions& out);
  static void refuse(const foreign_request& request, error_kind error,
                     actions& out);

  std::map<request_key, entry> pending_;
};

}  // namespace rosemarydrum
