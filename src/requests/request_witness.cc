#include "rosemarydrum/requests/request_witness.h"

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

// Allows for differences between the balancers' wall clocks.
constexpr unix_ms keep_after_expiry_ms = 30'000;

}  // namespace

request_witness::request_witness(balancer_run self, std::size_t max_records)
    : self_(self), max_records_(max_records) {}

record_answer request_witness::on_record(const record_ask& ask,
                                         time_point now) {
  if (const auto known = records_.find(ask.request); known != records_.end()) {
    return {ask.request, known->second == record_state::recorded};
  }
  // Records of an expired token may have been dropped, so that the request may
  // already have been closed.
  if (records_.size() >= max_records_ ||
      ask.token_expires <= runtime_clock::to_unix(now)) {
    return {ask.request, false};
  }
  records_.emplace(ask.request, record_state::recorded);
  expiry_.emplace(ask.token_expires, ask.request);
  return {ask.request, true};
}

close_answer request_witness::on_close(const close_ask& ask, time_point now) {
  if (ask.witness != self_) {
    return {ask.request, false};
  }
  if (const auto known = records_.find(ask.request); known != records_.end()) {
    return {ask.request, known->second == record_state::closed};
  }
  if (records_.size() >= max_records_ ||
      ask.token_expires <= runtime_clock::to_unix(now)) {
    return {ask.request, false};
  }
  records_.emplace(ask.request, record_state::closed);
  expiry_.emplace(ask.token_expires, ask.request);
  return {ask.request, true};
}

void request_witness::tick(time_point now) {
  const unix_ms wall = runtime_clock::to_unix(now);
  while (!expiry_.empty() &&
         expiry_.begin()->first + keep_after_expiry_ms <= wall) {
    records_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
}

}  // namespace rosemarydrum
