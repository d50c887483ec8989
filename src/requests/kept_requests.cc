#include "requests/kept_requests.h"

#include <numeric>
#include <utility>

namespace rosemarydrum::detail {
namespace {

std::size_t answer_bytes(const kept_request& request) {
  return std::accumulate(
      request.parts.begin(), request.parts.end(), std::size_t{0},
      [](std::size_t sum, const bytes& part) { return sum + part.size(); });
}

}  // namespace

void kept_requests::add(const request_key& key, kept_request request,
                        time_point until) {
  if (contains(key)) {
    return;
  }
  const bool answered = !request.parts.empty();
  bytes_ += answer_bytes(request);
  kept_.emplace(key, std::move(request));
  expiry_.emplace(until, key);
  if (answered) {
    answered_.push_back(key);
    reserve_bytes(0);
  }
}

const kept_request* kept_requests::find(const request_key& key) const {
  const auto found = kept_.find(key);
  return found == kept_.end() ? nullptr : &found->second;
}

bool kept_requests::reserve_bytes(std::size_t extra) {
  while (bytes_ + extra > max_bytes_ && !answered_.empty()) {
    const request_key key = answered_.front();
    answered_.pop_front();
    drop_answer(key);
  }
  return bytes_ + extra <= max_bytes_;
}

bool kept_requests::evict_one() {
  while (!expiry_.empty()) {
    const request_key key = expiry_.begin()->second;
    const auto* next = find(key);
    if (next != nullptr && !next->idempotent) {
      return false;
    }
    expiry_.erase(expiry_.begin());
    if (next != nullptr) {
      erase(key);
      return true;
    }
  }
  return false;
}

void kept_requests::expire(time_point now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  while (!answered_.empty() && !contains(answered_.front())) {
    answered_.pop_front();
  }
}

void kept_requests::erase(const request_key& key) {
  if (const auto found = kept_.find(key); found != kept_.end()) {
    bytes_ -= answer_bytes(found->second);
    kept_.erase(found);
  }
}

void kept_requests::drop_answer(const request_key& key) {
  const auto found = kept_.find(key);
  if (found == kept_.end()) {
    return;
  }
  kept_request& request = found->second;
  if (request.idempotent) {
    erase(key);
    return;
  }
  bytes_ -= answer_bytes(request);
  request.parts.clear();
  request.parts.shrink_to_fit();
  if (request.error == error_kind::none) {
    request.error = error_kind::outcome_unknown;
    request.outcome = certainty::unknown;
  }
}

}  // namespace rosemarydrum::detail
