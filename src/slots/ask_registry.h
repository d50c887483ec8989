#pragma once

#include <unordered_map>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Knows which owner asks for a slot for each request. Callers send again while
/// they wait, and each copy may reach another balancer; without this a decider
/// that was away for a second would run each request several times over.
class ask_registry {
 public:
  /// An owner that waits asks again within this time.
  static constexpr milliseconds ask_lifetime{250};
  static constexpr std::size_t max_requests = 100'000;

  /// Whether `from` may ask for the request: nobody else does, or not any more.
  bool admit(const balancer_run& from, const slot_ask& ask, bool owner_live,
             time_point now);
  /// The present owner of the request; run 0 if there is none.
  balancer_run owner_of(const slot_ask& ask) const;

  /// `answer` goes to `asker`.
  void on_answer(const balancer_run& asker, const slot_answer& answer,
                 time_point now);
  void on_release(const slot_release& release);
  /// Forgets the asks whose owners have not asked again.
  void tick(time_point now);

 private:
  struct entry {
    balancer_run owner;
    time_point until;
  };
  struct asked_request {
    std::uint64_t ask = 0;
    balancer_run from;
    friend bool operator==(const asked_request&,
                           const asked_request&) = default;
  };
  struct asked_hash {
    std::size_t operator()(const asked_request& a) const {
      return detail::mix(detail::mix(a.ask, value_of(a.from.id)),
                         value_of(a.from.run));
    }
  };

  std::unordered_map<request_key, entry> owners_;
  std::unordered_map<asked_request, request_key, asked_hash> asks_;
  std::unordered_map<grant_id, request_key> grants_;
  time_point next_sweep_;
};

}  // namespace rosemarydrum
