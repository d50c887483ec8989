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

/// Position of an upstream in the directory; valid until it is forgotten.
enum class upstream_index : std::uint32_t {};

/// Flows live at most this long, and so does the memory of their upstreams.
inline constexpr seconds default_flow_lifetime{60};

enum class listing : std::uint8_t {
  listed,
  /// Its entry cannot be read; established flows go on.
  unreadable,
  /// No longer in the list; established flows go on while it lives.
  gone,
};

/// What is known of one upstream.
struct known_upstream {
  upstream_record record;
  revision changed{};
  listing state = listing::listed;
  upstream_tag tag{};
  /// Another upstream has had the same tag for longer.
  bool tag_is_taken = false;
  time_point cold_until;
  /// When its entry was removed, or is no longer expected back.
  time_point gone_at;

  /// Whether its entry lets it take new flows, by a list that was up to date at
  /// `confirmed`. An entry that may have lapsed while the store was away counts
  /// until a later list still lacks it.
  bool takes_flows(time_point confirmed) const {
    const bool is_listed = state == listing::listed ||
                           (state == listing::gone && confirmed < gone_at);
    return is_listed && !record.draining && !tag_is_taken;
  }
};

/// The upstreams of the store's list and those that have left it lately. The
/// revision of each upstream only grows, whatever order changes come in.
class upstream_directory {
 public:
  explicit upstream_directory(duration flow_lifetime = default_flow_lifetime);

  /// Returns the upstream that the change is about; nullopt if an equal or
  /// newer change is known, or it names an upstream that never was.
  std::optional<upstream_index> apply(const upstream_change& change,
                                      revision changed, time_point now);

  /// Forgets upstreams that have been gone for the lifetime of a flow. Calls
  /// `forgotten` for each, before its index is used again.
  template <typename Forgotten>
  void forget_gone(time_point now, Forgotten&& forgotten) {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (is_due(upstreams_[i], now)) {
        forgotten(upstream_index(static_cast<std::uint32_t>(i)));
        erase(i);
      }
    }
  }

  std::optional<upstream_index> find(upstream_key key) const;
  /// The upstream that flows with this tag belong to.
  std::optional<upstream_index> find(upstream_tag tag) const;
  const known_upstream& at(upstream_index index) const {
    return *upstreams_[value_of(index)];
  }
  /// All of a service, listed or not.
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

  /// Tag of the upstream `key`, never 0.
  static upstream_tag tag_of(upstream_key key);

 private:
  bool is_due(const std::optional<known_upstream>& known, time_point now) const;
  upstream_index insert(const upstream_record& record, time_point now);
  void move_to_service(upstream_index index, const std::string& service);
  void leave_service(upstream_index index);
  void settle_tag(upstream_tag tag);
  void erase(std::size_t position);

  duration flow_lifetime_;
  std::vector<std::optional<known_upstream>> upstreams_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<std::uint64_t, upstream_index> by_key_;
  /// In the order in which they were learnt.
  std::unordered_map<std::uint32_t, std::vector<upstream_index>> by_tag_;
  std::unordered_map<std::string, std::vector<upstream_index>> by_service_;
};

}  // namespace rosemarydrum
