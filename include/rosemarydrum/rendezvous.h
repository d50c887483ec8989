#pragma once

#include <optional>
#include <span>
#include <vector>

#include "rosemarydrum/types.h"

/// Highest-random-weight hashing (Thaler and Ravishankar, 1998).
namespace rosemarydrum {

/// Returns the weight of `member` for `key`, which is the same in all
/// processes.
constexpr std::uint64_t rendezvous_weight(std::uint64_t key,
                                          balancer_id member) {
  return detail::mix(detail::mix(0x5d, key), value_of(member));
}

/// Returns the member of highest weight for `key`; nullopt if there are none.
std::optional<balancer_id> rendezvous_first(
    std::uint64_t key, std::span<const balancer_id> members);

/// Returns `members` in descending order of weight for `key`.
std::vector<balancer_id> rendezvous_order(std::uint64_t key,
                                          std::span<const balancer_id> members);

}  // namespace rosemarydrum
