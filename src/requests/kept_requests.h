#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// How a request ended, for repeats of it.
struct kept_request {
  bool idempotent = false;
  /// `none`: answered with `parts`.
  error_kind error = error_kind::none;
  certainty outcome = certainty::not_applicable;
  std::uint32_t attempt = 0;
  /// What the flow's next token says.
  upstream_run bound_to;
  std::vector<bytes> parts;
};

/// Finished requests until their time is over, with a bound on the bytes of
/// their answers.
class kept_requests {
 public:
  explicit kept_requests(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void add(const request_key& key, kept_request request, time_point until);
  const kept_request* find(const request_key& key) const;
  bool contains(const request_key& key) const { return kept_.contains(key); }
  std::size_t size() const { return kept_.size(); }

  /// Drops the oldest answers until `extra` more bytes fit. An idempotent
  /// request is forgotten with its answer; any other one is known until its
  /// time is over, with an unknown outcome. False if they still do not fit.
  bool reserve_bytes(std::size_t extra);
  /// Forgets the next request to expire if it is idempotent. Others have to
  /// stay, or a late copy could run them again.
  bool evict_one();
  void expire(time_point now);

 private:
  void erase(const request_key& key);
  void drop_answer(const request_key& key);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<request_key, kept_request> kept_;
  std::multimap<time_point, request_key> expiry_;
  /// Requests with answers, oldest first; may name forgotten ones.
  std::deque<request_key> answered_;
};

}  // namespace rosemarydrum::detail
