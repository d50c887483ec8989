#pragma once

#include <map>
#include <unordered_map>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Keeps second records of other balancers' non-idempotent requests. Whichever
/// of "recorded" and "closed" comes first for a request is final.
class request_witness {
 public:
  explicit request_witness(balancer_run self,
                           std::size_t max_records = 1'000'000);

  /// Records the request unless it is closed, the table is full or the token
  /// has expired.
  record_answer on_record(const record_ask& ask, time_point now);

  /// Closes the request unless it is recorded, the table is full, the token has
  /// expired, or the token names another run of this balancer, whose records
  /// are lost.
  close_answer on_close(const close_ask& ask, time_point now);

  /// Drops records 30 s after the expiry of their token.
  void tick(time_point now);

  std::size_t size() const { return records_.size(); }

 private:
  enum class record_state : std::uint8_t { recorded, closed };

  balancer_run self_;
  std::size_t max_records_;
  std::unordered_map<request_key, record_state> records_;
  std::multimap<unix_ms, request_key> expiry_;
};

}  // namespace rosemarydrum
