#include "requests/finished_requests.h"

#include <numeric>
#include <utility>

namespace rosemarydrum::detail {
namespace {

std::size_t answer_bytes(const finished_request& request) {
  return std::accumulate(
      request.parts.begin(), request.parts.end(), std::size_t{0},
      [](std::size_t sum, const bytes& part) { return sum + part.size(); });
}

}  // namespace

void finished_requests::add(const request_key& key, finished_request request,
                            time_point expires_at) {
  if (contains(key)) {
    return;
  }
  const bool answered = !request.parts.empty();
  bytes_ += answer_bytes(request);
  requests_.emplace(key, std::move(request));
  expiry_.emplace(expires_at, key);
  if (answered) {
    answer_order_.push_back(key);
    reserve_bytes(0);
  }
}

const finished_request* finished_requests::find(const request_key& key) const {
  const auto found = requests_.find(key);
  return found == requests_.end() ? nullptr : &found->second;
}

bool finished_requests::reserve_bytes(std::size_t extra) {
  while (bytes_ + extra > max_bytes_ && !answer_order_.empty()) {
    const request_key key = answer_order_.front();
    answer_order_.pop_front();
    drop_answer(key);
  }
  return bytes_ + extra <= max_bytes_;
}

bool finished_requests::evict_one() {
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

void finished_requests::expire(time_point now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  while (!answer_order_.empty() && !contains(answer_order_.front())) {
    answer_order_.pop_front();
  }
}

void finished_requests::erase(const request_key& key) {
  if (const auto found = requests_.find(key); found != requests_.end()) {
    bytes_ -= answer_bytes(found->second);
    requests_.erase(found);
  }
}

void finished_requests::drop_answer(const request_key& key) {
  const auto found = requests_.find(key);
  if (found == requests_.end()) {
    return;
  }
  finished_request& request = found->second;
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
