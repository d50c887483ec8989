#include "slots/ask_registry.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds sweep_interval{250};

request_key key_of(const slot_ask& ask) {
  return {ask.caller, ask.service, ask.flow, ask.request};
}

}  // namespace

balancer_run ask_registry::owner_of(const slot_ask& ask) const {
  const auto found = owners_.find(key_of(ask));
  return found == owners_.end() ? balancer_run{} : found->second.owner;
}

bool ask_registry::admit(const balancer_run& from, const slot_ask& ask,
                         bool owner_live, time_point now) {
  const auto key = key_of(ask);
  if (const auto found = owners_.find(key); found != owners_.end()) {
    auto& [owner, until] = found->second;
    if (owner != from && owner_live && now < until) {
      return false;
    }
    owner = from;
    until = std::max(until, now + ask_lifetime);
  } else if (owners_.size() < max_requests) {
    owners_[key] = {from, now + ask_lifetime};
  }
  if (asks_.size() < max_requests) {
    asks_[{ask.ask, from}] = key;
  }
  return true;
}

void ask_registry::on_answer(const balancer_run& requester,
                             const slot_answer& answer, time_point now) {
  const auto asked = asks_.find({answer.ask, requester});
  if (asked == asks_.end()) {
    return;
  }
  const auto key = asked->second;
  asks_.erase(asked);
  if (answer.error != error_kind::none) {
    owners_.erase(key);
    return;
  }
  if (const auto found = owners_.find(key); found != owners_.end()) {
    found->second.until = now + milliseconds(answer.run_time_ms);
    if (grants_.size() < max_requests) {
      grants_[answer.grant] = key;
    }
  }
}

void ask_registry::on_release(const slot_release& release) {
  if (const auto found = grants_.find(release.grant); found != grants_.end()) {
    owners_.erase(found->second);
    grants_.erase(found);
  }
}

void ask_registry::tick(time_point now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + sweep_interval;
  std::erase_if(owners_,
                [&](const auto& item) { return item.second.until <= now; });
  const auto has_no_owner = [this](const auto& item) {
    return !owners_.contains(item.second);
  };
  std::erase_if(asks_, has_no_owner);
  std::erase_if(grants_, has_no_owner);
}

}  // namespace rosemarydrum
