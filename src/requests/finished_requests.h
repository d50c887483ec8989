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

/// The result of a request, with which repeats of it are answered.
struct finished_request {
  bool idempotent = false;
  /// `none` if the request was answered with `parts`.
  error_kind error = error_kind::none;
  certainty outcome = certainty::not_applicable;
  std::uint32_t attempt = 0;
  /// The upstream that the flow's next token names.
  upstream_run flow_upstream;
  std::vector<bytes> parts;
};

/// Results of finished requests, each kept until it expires. The answers
/// together take at most `max_bytes`.
class finished_requests {
 public:
  explicit finished_requests(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void add(const request_key& key, finished_request request,
           time_point expires_at);
  const finished_request* find(const request_key& key) const;
  bool contains(const request_key& key) const {
    return requests_.contains(key);
  }
  std::size_t size() const { return requests_.size(); }

  /// Drops the oldest answers until `extra` more bytes fit. An idempotent
  /// request is erased with its answer; a non-idempotent one stays until it
  /// expires, with an unknown outcome. False if the bytes still do not fit.
  bool reserve_bytes(std::size_t extra);
  /// Erases the request that expires first if it is idempotent, and returns
  /// whether it did. A non-idempotent request has to stay, because a late copy
  /// could run again.
  bool evict_one();
  void expire(time_point now);

 private:
  void erase(const request_key& key);
  void drop_answer(const request_key& key);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<request_key, finished_request> requests_;
  std::multimap<time_point, request_key> expiry_;
  /// Requests with answers, oldest first. May contain erased ones.
  std::deque<request_key> answer_order_;
};

}  // namespace rosemarydrum::detail
