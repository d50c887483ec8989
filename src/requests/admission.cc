#include "rosemarydrum/requests/admission.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

// Buckets of removed approvals stay; this many are kept before they are
// looked for.
constexpr std::size_t max_buckets = 65'536;
constexpr seconds burst_time{1};

const approval* find_approval(const service& target, std::uint32_t address) {
  const approval* longest = nullptr;
  for (const approval& consent : target.approvals) {
    if (consent.source.contains(address) &&
        (longest == nullptr ||
         consent.source.length > longest->source.length)) {
      longest = &consent;
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
  const approval* consent = find_approval(*target, envelope.caller.address);
  if (consent == nullptr) {
    return {error_kind::not_approved, target, nullptr};
  }
  if (kind == packet_kind::request &&
      !take(*target, *consent, balancers, now)) {
    return {error_kind::rate_limited, target, consent};
  }
  return {error_kind::none, target, consent};
}

bool admission::take(const service& target, const approval& consent,
                     std::size_t balancers, time_point now) {
  const double per_second =
      static_cast<double>(consent.requests_per_second) /
      static_cast<double>(std::max<std::size_t>(balancers, 1));
  if (per_second <= 0) {
    return false;
  }
  // A share of less than one request a second still lets single ones pass.
  const double burst = std::max(1.0, per_second);
  if (buckets_.size() >= max_buckets) {
    // A bucket that was not used for the burst time is as full as a new one,
    // but for shares of less than one request a second.
    std::erase_if(buckets_, [now](const auto& entry) {
      return now - entry.second.filled >= burst_time;
    });
  }
  auto [found, is_new] = buckets_.try_emplace(
      bucket_key{target.id, consent.caller}, bucket{burst, now});
  bucket& b = found->second;
  const auto passed = std::max(now - b.filled, duration::zero());
  b.tokens = std::min(
      burst,
      b.tokens + per_second * std::chrono::duration<double>(passed).count());
  b.filled = std::max(b.filled, now);
  if (b.tokens < 1) {
    return false;
  }
  b.tokens -= 1;
  return true;
}

}  // namespace rosemarydrum
