#include "rosemarydrum/forwarding/upstream_directory.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// Keys up to this are their own tag; greater ones are hashed to 32 bits.
constexpr std::uint64_t max_unhashed_key = 0xffff'ffff;
/// The bit in which an upstream's opening tag differs from its tag.
constexpr std::uint32_t opening_bit = 0x8000'0000;

}  // namespace

upstream_directory::upstream_directory(duration flow_lifetime)
    : flow_lifetime_(flow_lifetime) {}

upstream_tag upstream_directory::tag_of(upstream_key key) {
  const auto number = value_of(key);
  const auto folded =
      number <= max_unhashed_key
          ? static_cast<std::uint32_t>(number)
          : static_cast<std::uint32_t>(detail::mix(0, number) >> 32);
  return upstream_tag(folded == 0 ? 1 : folded);
}

std::optional<upstream_index> upstream_directory::apply(
    const upstream_change& change, revision changed, time_point now) {
  auto index = find(change.record.key);
  if (!index) {
    if (change.state == record_state::unreadable ||
        change.record.service.empty()) {
      return std::nullopt;
    }
    index = insert(change.record, now);
  }
  auto& known = *upstreams_[value_of(*index)];
  if (known.changed >= changed) {
    return std::nullopt;
  }
  known.changed = changed;
  if (change.state == record_state::removed) {
    const time_point gone_at = now + change.grace;
    const bool was_gone = known.state == listing::gone;
    known.gone_at = was_gone ? std::min(known.gone_at, gone_at) : gone_at;
    known.state = listing::gone;
    return index;
  }
  if (change.state == record_state::unreadable) {
    known.state = listing::unreadable;
    return index;
  }
  if (known.record.service != change.record.service) {
    move_to_service(*index, change.record.service);
  }
  known.record = change.record;
  known.state = listing::listed;
  known.cold_until = now + change.record.cold_left;
  resolve_tag_conflict(known.tag);
  return index;
}

void upstream_directory::reset_revision(upstream_key key) {
  if (const auto index = find(key)) {
    upstreams_[value_of(*index)]->changed = {};
  }
}

std::optional<upstream_index> upstream_directory::find(upstream_key key) const {
  const auto found = by_key_.find(value_of(key));
  return found == by_key_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<upstream_index> upstream_directory::find(upstream_tag tag) const {
  auto found = by_tag_.find(value_of(tag));
  if (found == by_tag_.end()) {
    found = by_tag_.find(value_of(tag) ^ opening_bit);
  }
  return found == by_tag_.end() ? std::nullopt
                                : std::optional(found->second.front());
}

upstream_tag upstream_directory::opening_tag(upstream_index index) const {
  const auto tag = at(index).tag;
  const auto opening = value_of(tag) ^ opening_bit;
  return opening == 0 || by_tag_.contains(opening) ? tag
                                                   : upstream_tag(opening);
}

bool upstream_directory::is_opening_tag(upstream_tag tag) const {
  return !by_tag_.contains(value_of(tag)) &&
         by_tag_.contains(value_of(tag) ^ opening_bit);
}

std::span<const upstream_index> upstream_directory::of_service(
    const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? std::span<const upstream_index>{}
                                    : found->second;
}

bool upstream_directory::is_expired(const std::optional<known_upstream>& known,
                                    time_point now) const {
  return known && known->state == listing::gone &&
         now - known->gone_at >= flow_lifetime_;
}

upstream_index upstream_directory::insert(const upstream_record& record,
                                          time_point now) {
  std::uint32_t position = 0;
  if (free_.empty()) {
    position = static_cast<std::uint32_t>(upstreams_.size());
    upstreams_.emplace_back();
  } else {
    position = free_.back();
    free_.pop_back();
  }
  const auto index = upstream_index(position);
  const auto tag = tag_of(record.key);
  upstreams_[position] = known_upstream{
      record, {}, listing::listed, tag, false, now + record.cold_left, {}};
  by_key_[value_of(record.key)] = index;
  by_tag_[value_of(tag)].push_back(index);
  by_service_[record.service].push_back(index);
  return index;
}

void upstream_directory::move_to_service(upstream_index index,
                                         const std::string& service) {
  leave_service(index);
  by_service_[service].push_back(index);
}

void upstream_directory::leave_service(upstream_index index) {
  const auto found = by_service_.find(at(index).record.service);
  if (found == by_service_.end()) {
    return;
  }
  std::erase(found->second, index);
  if (found->second.empty()) {
    by_service_.erase(found);
  }
}

// Of several upstreams with the same tag, the one that started first owns it;
// the others get no new flows. All processes agree on the owner, because key
// and incarnation are part of the record.
void upstream_directory::resolve_tag_conflict(upstream_tag tag) {
  auto& with_tag = by_tag_[value_of(tag)];
  if (with_tag.size() < 2) {
    return;
  }
  std::sort(with_tag.begin(), with_tag.end(), [this](auto left, auto right) {
    const auto& a = at(left).record;
    const auto& b = at(right).record;
    return std::pair(a.run, a.key) < std::pair(b.run, b.key);
  });
  for (std::size_t i = 0; i < with_tag.size(); ++i) {
    upstreams_[value_of(with_tag[i])]->tag_is_taken = i > 0;
  }
}

void upstream_directory::erase(std::size_t position) {
  const auto index = upstream_index(static_cast<std::uint32_t>(position));
  const auto tag = at(index).tag;
  by_key_.erase(value_of(at(index).record.key));
  leave_service(index);
  auto& with_tag = by_tag_[value_of(tag)];
  std::erase(with_tag, index);
  if (with_tag.empty()) {
    by_tag_.erase(value_of(tag));
  } else {
    upstreams_[value_of(with_tag.front())]->tag_is_taken = false;
  }
  upstreams_[position].reset();
  free_.push_back(static_cast<std::uint32_t>(position));
}

}  // namespace rosemarydrum
