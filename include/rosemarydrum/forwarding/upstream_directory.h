#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Position of an upstream in the directory. It is reused after the upstream
/// has been forgotten.
enum class upstream_index : std::uint32_t {};

enum class listing : std::uint8_t {
  listed,
  /// The entry cannot be decoded; established flows continue.
  unreadable,
  /// The entry was removed; established flows continue while the upstream runs.
  gone,
};

/// The record of one upstream and its state in the directory.
struct known_upstream {
  upstream_record record;
  revision changed{};
  listing state = listing::listed;
  upstream_tag tag{};
  /// An upstream that started earlier has the same tag.
  bool tag_is_taken = false;
  time_point cold_until;
  /// When the entry was removed, plus the grace period of the change.
  time_point gone_at;

  /// Whether the entry permits new flows, if the directory was up to date at
  /// `confirmed`. An entry that may have expired only while the store was
  /// unavailable counts as listed until the directory is confirmed after the
  /// grace period.
  bool takes_flows(time_point confirmed) const {
    const bool is_listed = state == listing::listed ||
                           (state == listing::gone && confirmed < gone_at);
    return is_listed && !record.draining && !tag_is_taken;
  }
};

/// The upstreams that are listed in the store, and those removed within the
/// lifetime of a flow. Changes may arrive in any order; for each upstream the
/// one with the highest revision wins.
class upstream_directory {
 public:
  /// Removed upstreams stay known for the lifetime of a flow.
  explicit upstream_directory(duration flow_lifetime = default_flow_lifetime);

  /// Applies a change and returns its upstream. Returns nullopt if the known
  /// revision is equal or newer, or if the upstream is unknown and the change
  /// does not describe it.
  std::optional<upstream_index> apply(const upstream_change& change,
                                      revision changed, time_point now);

  /// Lets the next change of an upstream take effect, whatever its revision.
  void reset_revision(upstream_key key);

  /// Erases upstreams that have been gone for the lifetime of a flow. Calls
  /// `forgotten` for each before its index is reused.
  template <typename Forgotten>
  void forget_gone(time_point now, Forgotten&& forgotten) {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (is_expired(upstreams_[i], now)) {
        forgotten(upstream_index(static_cast<std::uint32_t>(i)));
        erase(i);
      }
    }
  }

  std::optional<upstream_index> find(upstream_key key) const;
  /// Returns the upstream of flows with this tag, which may be an opening tag.
  std::optional<upstream_index> find(upstream_tag tag) const;
  /// Returns the tag of opening packets to the upstream. It shows that the
  /// upstream was sent one, but not that it holds the flow. Equals the
  /// upstream's tag if another upstream has the opening tag as its own.
  upstream_tag opening_tag(upstream_index index) const;
  bool is_opening_tag(upstream_tag tag) const;
  const known_upstream& at(upstream_index index) const {
    return *upstreams_[value_of(index)];
  }
  /// Returns all upstreams of a service, listed or not.
  std::span<const upstream_index> of_service(const std::string& service) const;
  /// One more than the largest index in use.
  std::size_t index_bound() const { return upstreams_.size(); }

  template <typename Visit>
  void for_each(Visit&& visit) const {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i]) {
        visit(upstream_index(static_cast<std::uint32_t>(i)), *upstreams_[i]);
      }
    }
  }

  /// Returns the tag of the upstream `key`, never 0.
  static upstream_tag tag_of(upstream_key key);

 private:
  bool is_expired(const std::optional<known_upstream>& known,
                  time_point now) const;
  upstream_index insert(const upstream_record& record, time_point now);
  void move_to_service(upstream_index index, const std::string& service);
  void leave_service(upstream_index index);
  void resolve_tag_conflict(upstream_tag tag);
  void erase(std::size_t position);

  duration flow_lifetime_;
  std::vector<std::optional<known_upstream>> upstreams_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<std::uint64_t, upstream_index> by_key_;
  /// Upstreams with the same tag; the first one owns the tag.
  std::unordered_map<std::uint32_t, std::vector<upstream_index>> by_tag_;
  std::unordered_map<std::string, std::vector<upstream_index>> by_service_;
};

}  // namespace rosemarydrum
