#pragma once

#include <unordered_map>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Tracks which owner asks for the slot of each request. Callers retransmit
/// while they wait, and each copy may reach a different balancer. Without this,
/// a decider that was unreachable for a second would grant a slot to every
/// copy.
class ask_registry {
 public:
  /// An owner that is still waiting repeats its ask within this time.
  static constexpr milliseconds ask_lifetime{250};
  static constexpr std::size_t max_requests = 100'000;

  /// Returns whether `from` may ask for a slot for the request: there is no
  /// other owner, the other one is not live (`owner_live`), or it has stopped
  /// asking. Makes `from` the owner if so.
  bool admit(const balancer_run& from, const slot_ask& ask, bool owner_live,
             time_point now);
  /// Returns the current owner of the request, with run 0 if there is none.
  balancer_run owner_of(const slot_ask& ask) const;

  /// Processes the answer that is sent to `requester`. After a refusal the
  /// request has no owner; after a grant the owner keeps it for the run time.
  void on_answer(const balancer_run& requester, const slot_answer& answer,
                 time_point now);
  void on_release(const slot_release& release);
  /// Removes the requests whose owners have not asked again.
  void tick(time_point now);

 private:
  struct owner_entry {
    balancer_run owner;
    time_point until;
  };
  struct ask_id {
    std::uint64_t ask = 0;
    balancer_run from;
    friend bool operator==(const ask_id&, const ask_id&) = default;
  };
  struct ask_id_hash {
    std::size_t operator()(const ask_id& a) const {
      return detail::mix(detail::mix(a.ask, value_of(a.from.id)),
                         value_of(a.from.run));
    }
  };

  std::unordered_map<request_key, owner_entry> owners_;
  std::unordered_map<ask_id, request_key, ask_id_hash> asks_;
  std::unordered_map<grant_id, request_key> grants_;
  time_point next_sweep_;
};

}  // namespace rosemarydrum
