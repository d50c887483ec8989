#include "rosemarydrum/requests/admission.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

// Buckets of removed approvals are not erased with the approval. Reaching this
// number of buckets starts a search for idle ones.
constexpr std::size_t max_buckets = 65'536;
constexpr seconds burst_time{1};

const approval* find_approval(const service& target, std::uint32_t address) {
  const approval* longest = nullptr;
  for (const approval& candidate : target.approvals) {
    if (candidate.source.contains(address) &&
        (longest == nullptr ||
         candidate.source.length > longest->source.length)) {
      longest = &candidate;
    }
  }
  return longest;
}

}  // namespace

admission_verdict admission::admit(const configuration& current,
                                   const fabric_envelope& envelope,
                                   packet_kind kind, std::size_t balancers,
                                   time_point now) {
  const service* target = current.find_service(envelope.service);
  if (target == nullptr) {
    return {error_kind::unknown_service, nullptr, nullptr};
  }
  const approval* match = find_approval(*target, envelope.caller.address);
  if (match == nullptr) {
    return {error_kind::not_approved, target, nullptr};
  }
  if (kind == packet_kind::request &&
      !take_token(*target, *match, balancers, now)) {
    return {error_kind::rate_limited, target, match};
  }
  return {error_kind::none, target, match};
}

bool admission::take_token(const service& target, const approval& match,
                           std::size_t balancers, time_point now) {
  const double per_second =
      static_cast<double>(match.requests_per_second) /
      static_cast<double>(std::max<std::size_t>(balancers, 1));
  if (per_second <= 0) {
    return false;
  }
  // At least 1, or a share below one request per second would admit nothing.
  const double burst = std::max(1.0, per_second);
  if (buckets_.size() >= max_buckets) {
    // A bucket idle for the burst time is full again, so that erasing it
    // changes nothing, except for shares below one request per second.
    std::erase_if(buckets_, [now](const auto& entry) {
      return now - entry.second.refilled_at >= burst_time;
    });
  }
  auto [found, is_new] = buckets_.try_emplace(
      bucket_key{target.id, match.caller}, bucket{burst, now});
  bucket& b = found->second;
  const auto elapsed = std::max(now - b.refilled_at, duration::zero());
  b.tokens = std::min(
      burst,
      b.tokens + per_second * std::chrono::duration<double>(elapsed).count());
  b.refilled_at = std::max(b.refilled_at, now);
  if (b.tokens < 1) {
    return false;
  }
  b.tokens -= 1;
  return true;
}

}  // namespace rosemarydrum
